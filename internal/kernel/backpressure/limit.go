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
	// ProxyRank is a proxy's place among all proxies, those in the region of a server first.
	ProxyRank struct {
		Position int
		// InRegion counts the proxies in the server's region, All all of them.
		InRegion, Total int
	}
)

// Share is the proxy's part of the requests that a server takes in a window. The parts of
// all proxies add up to the window without a message, so that the limit holds where they
// can't hear each other.
func (r ProxyRank) Share(window int) int {
	if r.InRegion == 0 || r.InRegion == r.Total {
		return admission.Apportion(window, r.Position, r.Total)
	}
	near := int(math.Ceil(nearPart * float64(window)))
	if r.Position < r.InRegion {
		return admission.Apportion(near, r.Position, r.InRegion)
	}
	return admission.Apportion(window-near, r.Position-r.InRegion, r.Total-r.InRegion)
}

// Limit is the limit in force.
func (s *ServerState) Limit(now time.Time) Limit {
	if s == nil || !s.limited(now) {
		return Limit{}
	}
	return s.limit
}

// RequestsPerWindow is how many requests the server takes from all proxies together in a window;
// false if it names no limit.
func (s *ServerState) RequestsPerWindow(now time.Time) (int, bool) {
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
func (s *ServerState) hearLimit(now, sent time.Time, limit Limit, whole bool) {
	later := sent.After(s.limitAt)
	switch {
	case limit.Set && later:
		s.set(now, now, limit)
	case limit.Set && s.limit.Set:
		s.set(now, now, s.limit.lower(limit))
	case whole && later && s.limit.Set && now.Sub(s.limitAt) >= liftAfter:
		s.set(now, now, Limit{})
	}
}

// set notes what the server said at a moment.
func (s *ServerState) set(now, at time.Time, limit Limit) {
	if limit != s.limit {
		s.changedAt = now
	}
	s.limit, s.limitAt = limit, at
	s.heard(at)
}

func (s *ServerState) limited(now time.Time) bool {
	return s.limit.Set && now.Sub(s.limitAt) < limitFor
}

// HasRoom reports whether this proxy, with a share of the window, may send one more request.
func (s *ServerState) HasRoom(now time.Time, share int) bool {
	return s.pace.HasRoom(now, limitSpan, share)
}

// NextAllowed is when it may, zero if not before the server says otherwise.
func (s *ServerState) NextAllowed(now time.Time, share int) time.Time {
	return s.pace.NextAllowed(now, limitSpan, share)
}

// RecordSent counts a request to the server.
func (s *ServerState) RecordSent(now time.Time) {
	if s != nil && s.limited(now) {
		s.pace.Record(now)
	}
}
