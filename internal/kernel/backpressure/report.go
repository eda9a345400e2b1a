package backpressure

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	// changeGossipPeriod is for how long a change is told to every peer that this proxy speaks to.
	changeGossipPeriod = 3 * time.Second
	// maxReports bounds the servers in one message, some 20 bytes each; maxUnchangedReports those
	// of them of which there is nothing new.
	maxReports          = 64
	maxUnchangedReports = 16
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
func (t *Tracker) Reports(now time.Time, full bool) []Report {
	var recent, unchanged []*ServerState
	for _, state := range t.states {
		switch {
		case now.Sub(state.changedAt) < changeGossipPeriod:
			recent = append(recent, state)
		case state.hasLimit(now), state.draining && now.Sub(state.lastSignalAt) < drainingGossipPeriod:
			unchanged = append(unchanged, state)
		}
	}
	slices.SortFunc(recent, func(a, b *ServerState) int {
		return cmp.Or(b.changedAt.Compare(a.changedAt), cmp.Compare(a.server, b.server))
	})
	slices.SortFunc(unchanged, func(a, b *ServerState) int {
		return cmp.Or(a.reportedAt.Compare(b.reportedAt), cmp.Compare(a.server, b.server))
	})
	if !full {
		unchanged = unchanged[:min(len(unchanged), maxUnchangedReports)]
	}
	list := append(recent, unchanged...)
	list = list[:min(len(list), maxReports)]
	reports := make([]Report, 0, len(list))
	for _, state := range list {
		state.reportedAt = now
		reports = append(reports, Report{Server: state.server, Limit: state.limit, Draining: state.draining, Age: now.Sub(state.lastSignalAt)})
	}
	return reports
}

// Merge takes in a peer's reports. It reports whether it has learned of servers that it
// knew nothing of.
func (t *Tracker) Merge(now time.Time, reports []Report) (learned bool) {
	for _, r := range reports {
		signalAt := now.Add(-max(0, r.Age))
		state := t.states[r.Server]
		if r.Age >= drainingTTL || state == nil && !r.Limit.Set && !r.Draining {
			continue
		}
		if state == nil {
			state = t.addState(r.Server)
			learned = true
		}
		if r.Age < limitTTL && signalAt.After(state.limitAt) {
			state.setLimit(now, signalAt, r.Limit)
		}
		state.updateDraining(now, signalAt, r.Draining)
		t.emitEvents(state)
	}
	return learned
}
