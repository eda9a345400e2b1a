package backpressure

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	// newsFor is for how long a change is told to every peer that this proxy speaks to.
	newsFor = 3 * time.Second
	// reportsMost bounds the servers in one message, some 20 bytes each; standingMost those
	// of them of which there is nothing new.
	reportsMost  = 64
	standingMost = 16
)

type (
	// Report is what a proxy tells others of what a server asks of all of them.
	Report struct {
		Server quarantine.InstanceID `json:"server"`
		Limit  Limit                 `json:"limit"`
		// Draining is set if it takes no new requests any more.
		Draining bool `json:"leaving,omitempty"`
		// Age is how long ago the server said so last; clocks differ.
		Age time.Duration `json:"age"`
	}
)

// Reports lists what peers should hear: what has changed of late, and some of the rest that
// is in force in turn; all of it for a proxy that knows nothing yet.
func (l *Tracker) Reports(now time.Time, all bool) []Report {
	var news, standing []*ServerState
	for _, w := range l.states {
		switch {
		case now.Sub(w.changedAt) < newsFor:
			news = append(news, w)
		case w.limited(now), w.leaving && now.Sub(w.heardAt) < leavingTold:
			standing = append(standing, w)
		}
	}
	slices.SortFunc(news, func(a, b *ServerState) int {
		return cmp.Or(b.changedAt.Compare(a.changedAt), cmp.Compare(a.server, b.server))
	})
	slices.SortFunc(standing, func(a, b *ServerState) int {
		return cmp.Or(a.toldAt.Compare(b.toldAt), cmp.Compare(a.server, b.server))
	})
	if !all {
		standing = standing[:min(len(standing), standingMost)]
	}
	list := append(news, standing...)
	list = list[:min(len(list), reportsMost)]
	reports := make([]Report, 0, len(list))
	for _, w := range list {
		w.toldAt = now
		reports = append(reports, Report{Server: w.server, Limit: w.limit, Draining: w.leaving, Age: now.Sub(w.heardAt)})
	}
	return reports
}

// Merge takes in a peer's reports. It reports whether it has learned of servers that it
// knew nothing of.
func (l *Tracker) Merge(now time.Time, reports []Report) (learned bool) {
	for _, r := range reports {
		at := now.Add(-max(0, r.Age))
		w := l.states[r.Server]
		if r.Age >= leavingFor || w == nil && !r.Limit.Set && !r.Draining {
			continue
		}
		if w == nil {
			w = l.addState(r.Server)
			learned = true
		}
		if r.Age < limitFor && at.After(w.limitAt) {
			w.set(now, at, r.Limit)
		}
		w.hearLeaving(now, at, r.Draining)
		l.notice(w)
	}
	return learned
}
