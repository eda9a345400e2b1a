package quarantine

import (
	"slices"
)

const (
	// likelierFactor is how many times the ends of a work that never ran well one that
	// did may have and still be explained by it. Beyond, it ends servers whatever it did
	// before: a new version of the servers may have made it so.
	likelierFactor = 2
)

// attributedCrashes counts the ends that speak against a work: those since it last ran well that
// no likelier work explains. A work that ends servers takes dozens of sound requests with
// it each time, and the most asked-for of them are there again and again.
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

// explainedByOther reports whether a likelier work was there at an end.
func (t *Tracker) explainedByOther(fp Fingerprint, r *record, server InstanceID) bool {
	return slices.ContainsFunc(t.suspects, func(suspect Fingerprint) bool {
		other := t.records[suspect]
		return suspect != fp && t.moreLikely(other, r) && other.hasUncleared(server)
	})
}

// moreLikely reports whether a suspected work has rather ended servers than another one.
// One that has never run well comes before one that has: where all servers end within a
// moment, what is asked for most was there at each end, and nothing runs well after it.
// Else the one with more ends comes first, if it is condemned.
func (t *Tracker) moreLikely(candidate, other *record) bool {
	crashes, otherCrashes := candidate.uncleared(), other.uncleared()
	if candidate.succeeded != other.succeeded {
		return other.succeeded && crashes*likelierFactor >= otherCrashes
	}
	return crashes >= t.Threshold && crashes > otherCrashes
}
