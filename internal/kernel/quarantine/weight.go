package quarantine

import (
	"slices"
)

const (
	// likelierTimes is how many times the ends of a work that never ran well one that
	// did may have and still be explained by it. Beyond, it ends servers whatever it did
	// before: a new version of the servers may have made it so.
	likelierTimes = 2
)

// weight counts the ends that speak against a work: those since it last ran well that
// no likelier work explains. A work that ends servers takes dozens of sound requests with
// it each time, and the most asked-for of them are there again and again.
func (l *Tracker) weight(w Fingerprint, r *record) int {
	all := r.open()
	if all < endsToSuspect {
		return all
	}
	n := 0
	for _, e := range r.ends {
		if !e.cleared && !l.explained(w, r, e.server) {
			n++
		}
	}
	return n
}

// explained reports whether a likelier work was there at an end.
func (l *Tracker) explained(w Fingerprint, r *record, s InstanceID) bool {
	return slices.ContainsFunc(l.suspects, func(o Fingerprint) bool {
		other := l.works[o]
		return o != w && l.likelier(other, r) && other.has(s)
	})
}

// likelier reports whether a suspected work has rather ended servers than another one.
// One that has never run well comes before one that has: where all servers end within a
// moment, what is asked for most was there at each end, and nothing runs well after it.
// Else the one with more ends comes first, if it is condemned.
func (l *Tracker) likelier(a, than *record) bool {
	n, other := a.open(), than.open()
	if a.ranWell != than.ranWell {
		return than.ranWell && n*likelierTimes >= other
	}
	return n >= l.Threshold && n > other
}
