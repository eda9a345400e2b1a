package backpressure

import (
	"math"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
)

const (
	// limitSpan is the sliding window in which a limit is kept.
	limitSpan = 4 * time.Second
	// limitFor is how long a limit holds after the last answer at any proxy that named it.
	// A server that nobody asks says nothing, and one that has ended its limit can tell
	// only those who still send.
	limitFor = 15 * time.Second
	// liftAfter is how long no answer must have named the limit for it to be lifted. A
	// server that names it in some of its answers only still asks for it.
	liftAfter = time.Second
	// windowLeast is how many requests a limit leaves in a window, however low it is:
	// without any, nobody would hear that it has ended.
	windowLeast = 1
	// windowMost is from how many requests in a window on a limit is none for one proxy.
	windowMost = 1 << 14
	// nearPart is the part of a limit that the proxies of the server's own region share:
	// most requests for it come from there.
	nearPart = 0.75
)

type (
	// Rank is a proxy's place among all proxies, those in the region of a server first.
	Rank struct {
		Place int
		// Near counts the proxies in the server's region, All all of them.
		Near, All int
	}
)

// Share is the proxy's part of the requests that a server takes in a window. The parts of
// all proxies add up to the window without a message, so that the limit holds where they
// can't hear each other.
func (r Rank) Share(window int) int {
	if r.Near == 0 || r.Near == r.All {
		return admission.Deal(window, r.Place, r.All)
	}
	near := int(math.Ceil(nearPart * float64(window)))
	if r.Place < r.Near {
		return admission.Deal(near, r.Place, r.Near)
	}
	return admission.Deal(window-near, r.Place-r.Near, r.All-r.Near)
}

// Limit is the limit in force.
func (s *State) Limit(now time.Time) Limit {
	if s == nil || !s.limited(now) {
		return Limit{}
	}
	return s.limit
}

// Window is how many requests the server takes from all proxies together in a window;
// false if it names no limit.
func (s *State) Window(now time.Time) (int, bool) {
	if s == nil || !s.limited(now) {
		return 0, false
	}
	n := math.Floor(s.limit.PerSecond * limitSpan.Seconds())
	if n >= windowMost {
		return 0, false
	}
	return max(windowLeast, int(n)), true
}

// hearLimit takes in the limit that an answer names, if any. Answers may overtake each
// other: one to a request that was sent before the limit was last named, or found to have
// ended, neither lifts, raises nor renews it.
func (s *State) hearLimit(now, sent time.Time, limit Limit, whole bool) {
	later := sent.After(s.limitAt)
	switch {
	case limit.Named && later:
		s.set(now, now, limit)
	case limit.Named && s.limit.Named:
		s.set(now, now, s.limit.lower(limit))
	case whole && later && s.limit.Named && now.Sub(s.limitAt) >= liftAfter:
		s.set(now, now, Limit{})
	}
}

// set notes what the server said at a moment.
func (s *State) set(now, at time.Time, limit Limit) {
	if limit != s.limit {
		s.changedAt = now
	}
	s.limit, s.limitAt = limit, at
	s.heard(at)
}

func (s *State) limited(now time.Time) bool { return s.limit.Named && now.Sub(s.limitAt) < limitFor }

// Room reports whether this proxy, with a share of the window, may send one more request.
func (s *State) Room(now time.Time, share int) bool { return s.pace.Room(now, limitSpan, share) }

// RoomAt is when it may, zero if not before the server says otherwise.
func (s *State) RoomAt(now time.Time, share int) time.Time { return s.pace.Next(now, limitSpan, share) }

// Sent counts a request to the server.
func (s *State) Sent(now time.Time) {
	if s != nil && s.limited(now) {
		s.pace.Take(now)
	}
}
