package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// changeGossipPeriod is for how long a change is told to every peer that this proxy speaks to.
	changeGossipPeriod = 3 * time.Second
	// maxReports bounds the works in one message, 2 KB mostly.
	maxReports = 32
	// maxUnchangedReports bounds those of them that have not changed of late.
	maxUnchangedReports = 16
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
	for _, c := range r.Crashes {
		if !c.Cleared {
			n++
		}
	}
	return n
}

// Reports lists what peers should hear: what has changed of late, and of the rest what
// is condemned, in case they have missed it. all adds the other works with ends, for a
// proxy that knows nothing yet.
func (t *Tracker) Reports(now time.Time, full bool) []Report {
	var recent, unchanged []Fingerprint
	for fp, r := range t.records {
		switch {
		case now.Sub(r.changedAt) < changeGossipPeriod:
			recent = append(recent, fp)
		case full && r.uncleared() > 0 || r.uncleared() >= t.Threshold:
			unchanged = append(unchanged, fp)
		}
	}
	t.sortBySeverity(recent)
	t.sortBySeverity(unchanged)
	if !full {
		unchanged = unchanged[:min(len(unchanged), maxUnchangedReports)]
	}
	list := append(recent, unchanged...)
	list = list[:min(len(list), maxReports)]
	reports := make([]Report, 0, len(list))
	for _, fp := range list {
		reports = append(reports, t.report(now, fp))
	}
	return reports
}

func (t *Tracker) sortBySeverity(list []Fingerprint) {
	slices.SortFunc(list, func(a, b Fingerprint) int {
		x, y := t.records[a], t.records[b]
		return cmp.Or(cmp.Compare(y.uncleared(), x.uncleared()), y.changedAt.Compare(x.changedAt), slices.Compare(a[:], b[:]))
	})
}

func (t *Tracker) report(now time.Time, fp Fingerprint) Report {
	r := Report{Fingerprint: fp, Succeeded: t.records[fp].succeeded}
	for _, c := range t.records[fp].crashes {
		r.Crashes = append(r.Crashes, Crash{Server: c.server, Age: now.Sub(c.at), Cleared: c.cleared})
	}
	return r
}

// Merge takes in a peer's reports and reports whether they told anything new, which is
// then urgent for others: each proxy passes each piece of news on once.
func (t *Tracker) Merge(now time.Time, reports []Report) (learned bool) {
	for _, r := range reports {
		changed := false
		for _, c := range r.Crashes {
			at := now.Add(-c.Age)
			changed = t.addCrash(now, r.Fingerprint, crash{server: c.Server, at: at, cleared: c.Cleared || t.history.succeededSince(r.Fingerprint, at)}) || changed
		}
		known := t.records[r.Fingerprint]
		if known == nil {
			continue
		}
		if known.peerMissedClear(r) || known.succeeded && !r.Succeeded {
			// The peer has not heard that the work has run well.
			known.changedAt = now
		}
		if r.Succeeded && !known.succeeded {
			known.succeeded, known.changedAt, changed = true, now, true
		}
		learned = learned || changed
	}
	t.urgent = t.urgent || learned
	return learned
}

// peerMissedClear reports whether an end counts at the peer that told it and is cleared here.
func (r *record) peerMissedClear(reported Report) bool {
	return slices.ContainsFunc(reported.Crashes, func(c Crash) bool {
		return !c.Cleared && slices.ContainsFunc(r.crashes, func(known crash) bool { return known.server == c.Server && known.cleared })
	})
}

// NeedsAttention reports whether there is anything to find out or to tell at once.
func (t *Tracker) NeedsAttention() bool { return t.urgent || t.probeNeeded }

// TakeUrgent reports, once, whether there is news that others should hear at once.
func (t *Tracker) TakeUrgent() bool {
	urgent := t.urgent
	t.urgent = false
	return urgent
}

// QuarantinedReports lists the works that are condemned, also while they are tried.
func (t *Tracker) QuarantinedReports(now time.Time) []Report {
	var list []Report
	for _, fp := range t.suspects {
		if t.attributedCrashes(fp, t.records[fp]) >= t.Threshold {
			list = append(list, t.report(now, fp))
		}
	}
	return list
}
