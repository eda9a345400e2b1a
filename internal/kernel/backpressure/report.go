package backpressure

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	// changeGossipPeriod is how long a change is included in every message to a peer.
	changeGossipPeriod = 3 * time.Second
	// maxReports bounds the servers in one message, at some 20 bytes each; maxUnchangedReports
	// bounds those among them without a recent change.
	maxReports          = 64
	maxUnchangedReports = 16
)

type (
	// Report is what a proxy gossips about the signals that a server sends to all proxies.
	Report struct {
		Server quarantine.InstanceID `json:"server"`
		Limit  Limit                 `json:"limit"`
		// Draining is set if the server accepts no new requests.
		Draining bool `json:"leaving,omitempty"`
		// Age is the time since the server last sent the signal. It is sent instead of the time,
		// because the clocks of proxies differ.
		Age time.Duration `json:"age"`
	}
)

// Reports returns the reports to send to a peer: recent changes and, in turn, a number of the other
// signals that still apply. full lifts that bound, for a proxy that has just started.
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

// Merge adds the reports of a peer. It reports whether they contained servers that were not
// tracked.
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
