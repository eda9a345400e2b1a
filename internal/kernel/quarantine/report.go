package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// newsFor is for how long a change is told to every peer that this proxy speaks to.
	newsFor = 3 * time.Second
	// reportsMost bounds the works in one message, 2 KB mostly.
	reportsMost = 32
	// standingMost bounds those of them that have not changed of late.
	standingMost = 16
)

type (
	// Report is what a proxy tells others of a work.
	Report struct {
		Fingerprint Fingerprint `json:"work"`
		Crashes     []Crash     `json:"ends"`
		// Succeeded is set if any proxy has seen the work run well.
		Succeeded bool `json:"ran-well,omitempty"`
	}

	// Crash is a server's end with the work there. Its age is told, since clocks differ.
	Crash struct {
		Server  InstanceID    `json:"server"`
		Age     time.Duration `json:"age"`
		Cleared bool          `json:"cleared,omitempty"`
	}
)

// UnclearedCrashes counts the ends since the work last ran well.
func (r Report) UnclearedCrashes() (n int) {
	for _, e := range r.Crashes {
		if !e.Cleared {
			n++
		}
	}
	return n
}

// Reports lists what peers should hear: what has changed of late, and of the rest what
// is condemned, in case they have missed it. all adds the other works with ends, for a
// proxy that knows nothing yet.
func (l *Tracker) Reports(now time.Time, all bool) []Report {
	var news, standing []Fingerprint
	for w, r := range l.works {
		switch {
		case now.Sub(r.changed) < newsFor:
			news = append(news, w)
		case all && r.open() > 0 || r.open() >= l.Threshold:
			standing = append(standing, w)
		}
	}
	l.weightiestFirst(news)
	l.weightiestFirst(standing)
	if !all {
		standing = standing[:min(len(standing), standingMost)]
	}
	list := append(news, standing...)
	list = list[:min(len(list), reportsMost)]
	reports := make([]Report, 0, len(list))
	for _, w := range list {
		reports = append(reports, l.report(now, w))
	}
	return reports
}

func (l *Tracker) weightiestFirst(list []Fingerprint) {
	slices.SortFunc(list, func(a, b Fingerprint) int {
		x, y := l.works[a], l.works[b]
		return cmp.Or(cmp.Compare(y.open(), x.open()), y.changed.Compare(x.changed), slices.Compare(a[:], b[:]))
	})
}

func (l *Tracker) report(now time.Time, w Fingerprint) Report {
	r := Report{Fingerprint: w, Succeeded: l.works[w].ranWell}
	for _, e := range l.works[w].ends {
		r.Crashes = append(r.Crashes, Crash{Server: e.server, Age: now.Sub(e.at), Cleared: e.cleared})
	}
	return r
}

// Merge takes in a peer's reports and reports whether they told anything new, which is
// then urgent for others: each proxy passes each piece of news on once.
func (l *Tracker) Merge(now time.Time, reports []Report) (news bool) {
	for _, r := range reports {
		changed := false
		for _, e := range r.Crashes {
			at := now.Add(-e.Age)
			changed = l.add(now, r.Fingerprint, end{server: e.Server, at: at, cleared: e.Cleared || l.runs.wellSince(r.Fingerprint, at)}) || changed
		}
		own := l.works[r.Fingerprint]
		if own == nil {
			continue
		}
		if own.lags(r) || own.ranWell && !r.Succeeded {
			// The peer has not heard that the work has run well.
			own.changed = now
		}
		if r.Succeeded && !own.ranWell {
			own.ranWell, own.changed, changed = true, now, true
		}
		news = news || changed
	}
	l.urgent = l.urgent || news
	return news
}

// lags reports whether an end counts at the peer that told it and is cleared here.
func (r *record) lags(told Report) bool {
	return slices.ContainsFunc(told.Crashes, func(e Crash) bool {
		return !e.Cleared && slices.ContainsFunc(r.ends, func(k end) bool { return k.server == e.Server && k.cleared })
	})
}

// NeedsAttention reports whether there is anything to find out or to tell at once.
func (l *Tracker) NeedsAttention() bool { return l.urgent || l.doubtful }

// TakeUrgent reports, once, whether there is news that others should hear at once.
func (l *Tracker) TakeUrgent() bool {
	urgent := l.urgent
	l.urgent = false
	return urgent
}

// QuarantinedReports lists the works that are condemned, also while they are tried.
func (l *Tracker) QuarantinedReports(now time.Time) []Report {
	var list []Report
	for _, w := range l.suspects {
		if l.weight(w, l.works[w]) >= l.Threshold {
			list = append(list, l.report(now, w))
		}
	}
	return list
}
