package quarantine

import (
	"slices"
)

const (
	// likelierFactor bounds how many crashes of a fingerprint that has succeeded may be explained
	// by one that never has, as a multiple of the crashes of the latter. With more, the fingerprint
	// counts as the cause despite its past success: a new server version may have introduced the
	// fault.
	likelierFactor = 2
)

// attributedCrashes counts the crashes held against a fingerprint: those since it last succeeded
// that no likelier fingerprint explains. Each crash caused by one request also cuts off dozens of
// harmless ones, and the most frequent of those are in flight again and again.
func (t *Tracker) attributedCrashes(fp Fingerprint, r *record) int {
	uncleared := r.uncleared()
	if uncleared < suspectThreshold {
		return uncleared
	}
	unexplained := 0
	for _, c := range r.crashes {
		if !c.cleared && !t.explainedByOther(fp, r, c.server) {
			unexplained++
		}
	}
	return unexplained
}

// explainedByOther reports whether a likelier fingerprint was in flight at a crash.
func (t *Tracker) explainedByOther(fp Fingerprint, r *record, server InstanceID) bool {
	return slices.ContainsFunc(t.suspects, func(suspect Fingerprint) bool {
		other := t.records[suspect]
		return suspect != fp && t.moreLikely(other, r) && other.hasUncleared(server)
	})
}

// moreLikely reports whether candidate is a likelier cause of crashes than other. A fingerprint
// that has never succeeded is likelier than one that has: if all servers crash almost at once, the
// most frequent requests were in flight at each crash, and nothing can succeed afterwards.
// Otherwise the one with more crashes is likelier, provided that it has reached the threshold.
func (t *Tracker) moreLikely(candidate, other *record) bool {
	crashes, otherCrashes := candidate.uncleared(), other.uncleared()
	if candidate.succeeded != other.succeeded {
		return other.succeeded && crashes*likelierFactor >= otherCrashes
	}
	return crashes >= t.Threshold && crashes > otherCrashes
}
