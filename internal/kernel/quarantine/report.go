package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// changeGossipPeriod is how long a change is included in every message to a peer.
	changeGossipPeriod = 3 * time.Second
	// maxReports bounds the fingerprints in one message, which then mostly takes 2 KB.
	maxReports = 32
	// maxUnchangedReports bounds the fingerprints among them without a recent change.
	maxUnchangedReports = 16
)

type (
	// Report is what a proxy reports to its peers about a fingerprint.
	Report struct {
		Fingerprint Fingerprint `json:"work"`
		Crashes     []Crash     `json:"ends"`
		// Succeeded is set if any proxy has seen such a request succeed.
		Succeeded bool `json:"ran-well,omitempty"`
	}

	// Crash is a server crash at which a request with the fingerprint was in flight. Its age is
	// sent instead of its time, because the clocks of proxies differ.
	Crash struct {
		Server  InstanceID    `json:"server"`
		Age     time.Duration `json:"age"`
		Cleared bool          `json:"cleared,omitempty"`
	}
)

// UnclearedCrashes counts the crashes since the fingerprint last succeeded.
func (r Report) UnclearedCrashes() (n int) {
	for _, c := range r.Crashes {
		if !c.Cleared {
			n++
		}
	}
	return n
}

// Reports returns the reports to send to a peer: recent changes and, in case the peer missed them,
// a number of quarantined fingerprints. full adds the other fingerprints with crashes, for a proxy
// that has just started, and lifts the bound on unchanged ones.
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

// Merge adds the reports of a peer and reports whether they contained anything new. New information
// becomes urgent, so that each proxy forwards it once.
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
			// The peer does not know that the fingerprint has succeeded.
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

// peerMissedClear reports whether the peer counts a crash that is cleared here.
func (r *record) peerMissedClear(reported Report) bool {
	return slices.ContainsFunc(reported.Crashes, func(c Crash) bool {
		return !c.Cleared && slices.ContainsFunc(r.crashes, func(known crash) bool { return known.server == c.Server && known.cleared })
	})
}

// NeedsAttention reports whether there are servers to probe or urgent changes to send.
func (t *Tracker) NeedsAttention() bool { return t.urgent || t.probeNeeded }

// TakeUrgent reports whether there are changes that peers should learn of immediately, and resets
// that state.
func (t *Tracker) TakeUrgent() bool {
	urgent := t.urgent
	t.urgent = false
	return urgent
}

// QuarantinedReports returns the reports of all quarantined fingerprints, including those that are
// due for a trial.
func (t *Tracker) QuarantinedReports(now time.Time) []Report {
	var list []Report
	for _, fp := range t.suspects {
		if t.attributedCrashes(fp, t.records[fp]) >= t.Threshold {
			list = append(list, t.report(now, fp))
		}
	}
	return list
}
