// Package peer holds what proxies tell one another: membership, versions,
// capacity quota on loan, and the hybrid clock that orders events.
package peer

import (
	"fmt"
	"time"
)

type (
	// Stamp is a hybrid logical time: wall time of the fastest clock heard of
	// in nanoseconds, then a counter. An event that another one caused has
	// the larger stamp even when the two VMs' clocks differ, because every
	// message between proxies carries the sender's stamp.
	Stamp struct {
		Wall  int64 `json:"wall"`
		Count int32 `json:"count"`
	}

	// Clock issues stamps of one process.
	Clock struct {
		last Stamp
	}
)

// Less orders stamps.
func (s Stamp) Less(t Stamp) bool {
	if s.Wall != t.Wall {
		return s.Wall < t.Wall
	}
	return s.Count < t.Count
}

// Time is the wall part.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall).UTC() }

// String is a fixed-width form that sorts like Less.
func (s Stamp) String() string { return fmt.Sprintf("%019d.%06d", s.Wall, s.Count) }

// Now issues the stamp of a local event.
func (c *Clock) Now(now time.Time) Stamp {
	wall := now.UnixNano()
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last.Count++
	}
	return c.last
}

// Observe takes in a stamp that came with a message.
func (c *Clock) Observe(s Stamp) {
	if c.last.Less(s) {
		c.last = s
	}
}
