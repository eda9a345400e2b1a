package replica

import (
	"time"
)

const (
	// minOutage is the shortest time without the store in which entries may have expired. A
	// single failed call, such as an interrupted watch, is no outage: the next call succeeds
	// within a fraction of a second.
	minOutage = time.Second
	// tentativeFor is how long after the end of an outage a missing entry may be one that expired
	// because of it. Live servers register again within about two seconds.
	tentativeFor = 3 * time.Second
)

type (
	// Outage tracks when the store was unavailable to one proxy. Entries expire during an outage
	// although their servers are alive, so that for a moment all of them may be missing.
	Outage struct {
		ongoing        bool
		since          time.Time
		tentativeUntil time.Time
	}
)

// RecordFailure records that the store hasn't responded since a time, and reports whether this
// begins an outage.
func (o *Outage) RecordFailure(since time.Time) bool {
	if o.ongoing {
		return false
	}
	o.ongoing, o.since = true, since
	return true
}

// RecordSuccess records a response of the store and reports whether it ends an outage.
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

// RemovalsTentative reports whether missing entries may be back soon.
func (o *Outage) RemovalsTentative(now time.Time) bool {
	if o.ongoing {
		return now.Sub(o.since) >= minOutage
	}
	return now.Before(o.tentativeUntil)
}
