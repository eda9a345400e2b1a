package replica

import (
	"time"
)

const (
	// awayLeast is how long the store must have been away for entries to have
	// run out meanwhile. A call that fails once, such as a watch that is cut,
	// is none: the next one is answered within a fraction of a second.
	awayLeast = time.Second
	// doubtFor is how long after its return an entry that is missing may be one
	// that the outage dropped. Live servers are back within about two seconds.
	doubtFor = 3 * time.Second
)

type (
	// Outage notes when the store was away, as one proxy sees it. Entries run
	// out meanwhile though their servers are alive, so that for a moment all may
	// be missing at once.
	Outage struct {
		lost  bool
		since time.Time
		until time.Time
	}
)

// RecordFailure notes that the store has not answered since a moment, and reports
// whether it did before.
func (o *Outage) RecordFailure(since time.Time) bool {
	if o.lost {
		return false
	}
	o.lost, o.since = true, since
	return true
}

// RecordSuccess notes an answer and reports whether the store was lost.
func (o *Outage) RecordSuccess(now time.Time) bool {
	if !o.lost {
		return false
	}
	o.lost = false
	if now.Sub(o.since) >= awayLeast {
		o.until = now.Add(doubtFor)
	}
	return true
}

// RemovalsTentative reports whether what is missing may be back soon.
func (o *Outage) RemovalsTentative(now time.Time) bool {
	if o.lost {
		return now.Sub(o.since) >= awayLeast
	}
	return now.Before(o.until)
}
