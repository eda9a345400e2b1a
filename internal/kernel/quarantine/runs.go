package quarantine

import (
	"time"
)

const (
	// wellMost bounds the works whose last good run is kept.
	wellMost = 4096
)

type (
	// runs are the works that run now and those that ran well of late. Reports of ends
	// come some time after: a work that has run well since must be known then.
	runs struct {
		now  map[Fingerprint]int
		last map[Fingerprint]time.Time
		// order lists the works of last in the order in which they came, from next on.
		order []Fingerprint
		next  int
	}
)

func newRuns() runs {
	return runs{now: make(map[Fingerprint]int), last: make(map[Fingerprint]time.Time)}
}

func (r *runs) well(now time.Time, w Fingerprint) {
	if _, known := r.last[w]; !known {
		if len(r.order) < wellMost {
			r.order = append(r.order, w)
		} else {
			delete(r.last, r.order[r.next])
			r.order[r.next] = w
			r.next = (r.next + 1) % wellMost
		}
	}
	r.last[w] = now
}

// known reports whether a work has run well at any moment that is remembered.
func (r *runs) known(w Fingerprint) bool {
	_, known := r.last[w]
	return known
}

func (r *runs) wellSince(w Fingerprint, at time.Time) bool { return r.last[w].After(at) }
