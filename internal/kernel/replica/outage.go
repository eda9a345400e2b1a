package replica

import (
	"time"
)

const (
	// minOutage is how long the store must have been away for entries to have
	// run out meanwhile. A call that fails once, such as a watch that is cut,
	// is none: the next one is answered within a fraction of a second.
	minOutage = time.Second
	// tentativeFor is how long after its return an entry that is missing may be one
	// that the outage dropped. Live servers are back within about two seconds.
	tentativeFor = 3 * time.Second
)

type (
	// Outage notes when the store was away, as one proxy sees it. Entries run
	// out meanwhile though their servers are alive, so that for a moment all may
	// be missing at once.
	Outage struct {
		ongoing        bool
		since          time.Time
		tentativeUntil time.Time
	}
)

// RecordFailure notes that the store has not answered since a moment, and reports
// whether it did before.
func (o *Outage) RecordFailure(since time.Time) bool {
	if o.ongoing {
		return false
	}
	o.ongoing, o.since = true, since
	return true
}

// RecordSuccess notes an answer and reports whether the store was lost.
func (o *Outage) RecordSuccess(now time.Time) bool {
	if !o.ongoing {
		return false
	}
	o.ongoing = false
	if now.Sub(o.since) >= minOutage {
		o.tentativeUntil = now.Add(tentativeFor)
	}
	return true
}

// RemovalsTentative reports whether what is missing may be back soon.
func (o *Outage) RemovalsTentative(now time.Time) bool {
	if o.ongoing {
		return now.Sub(o.since) >= minOutage
	}
	return now.Before(o.tentativeUntil)
}
