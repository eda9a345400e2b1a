package quarantine

import (
	"time"
)

const (
	// maxSuccesses bounds the works whose last good run is kept.
	maxSuccesses = 4096
)

type (
	// runHistory are the works that run now and those that ran well of late. Reports of ends
	// come some time after: a work that has run well since must be known then.
	runHistory struct {
		running     map[Fingerprint]int
		lastSuccess map[Fingerprint]time.Time
		// order lists the works of last in the order in which they came, from next on.
		order []Fingerprint
		next  int
	}
)

func newRunHistory() runHistory {
	return runHistory{running: make(map[Fingerprint]int), lastSuccess: make(map[Fingerprint]time.Time)}
}

func (r *runHistory) recordSuccess(now time.Time, fp Fingerprint) {
	if _, known := r.lastSuccess[fp]; !known {
		if len(r.order) < maxSuccesses {
			r.order = append(r.order, fp)
		} else {
			delete(r.lastSuccess, r.order[r.next])
			r.order[r.next] = fp
			r.next = (r.next + 1) % maxSuccesses
		}
	}
	r.lastSuccess[fp] = now
}

// hasSucceeded reports whether a work has run well at any moment that is remembered.
func (r *runHistory) hasSucceeded(fp Fingerprint) bool {
	_, succeeded := r.lastSuccess[fp]
	return succeeded
}

func (r *runHistory) succeededSince(fp Fingerprint, since time.Time) bool {
	return r.lastSuccess[fp].After(since)
}
