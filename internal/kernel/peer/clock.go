// Package peer implements what proxies exchange with each other: membership, document versions,
// loans of capacity quota, and the hybrid logical clock that orders events.
package peer

import (
	"fmt"
	"time"
)

type (
	// Stamp is a timestamp of a hybrid logical clock: the wall time of the fastest clock observed
	// so far, in nanoseconds, and a counter. An event has a larger stamp than the event that caused
	// it even if the clocks of the two VMs differ, because every message between proxies carries
	// the sender's stamp.
	Stamp struct {
		Wall  int64 `json:"wall"`
		Count int32 `json:"count"`
	}

	// Clock is the hybrid logical clock of a process.
	Clock struct {
		last Stamp
	}
)

// Less reports whether s is before t.
func (s Stamp) Less(t Stamp) bool {
	if s.Wall != t.Wall {
		return s.Wall < t.Wall
	}
	return s.Count < t.Count
}

// Time returns the wall time of the stamp in UTC.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall).UTC() }

// String returns a fixed-width encoding that sorts in the order of Less.
func (s Stamp) String() string { return fmt.Sprintf("%019d.%06d", s.Wall, s.Count) }

// Now advances the clock and returns the stamp of a local event.
func (c *Clock) Now(now time.Time) Stamp {
	wall := now.UnixNano()
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last.Count++
	}
	return c.last
}

// Observe advances the clock to the stamp of a received message if that is later.
func (c *Clock) Observe(seen Stamp) {
	if c.last.Less(seen) {
		c.last = seen
	}
}
