package backpressure

import (
	"math"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
)

const (
	// limitWindow is the sliding window in which a limit is kept.
	limitWindow = 4 * time.Second
	// limitTTL is how long a limit holds after the last answer at any proxy that named it.
	// A server that nobody asks says nothing, and one that has ended its limit can tell
	// only those who still send.
	limitTTL = 15 * time.Second
	// limitClearDelay is how long no answer must have named the limit for it to be lifted. A
	// server that names it in some of its answers only still asks for it.
	limitClearDelay = time.Second
	// minWindowRequests is how many requests a limit leaves in a window, however low it is:
	// without any, nobody would hear that it has ended.
	minWindowRequests = 1
	// maxWindowRequests is from how many requests in a window on a limit is none for one proxy.
	maxWindowRequests = 1 << 14
	// regionShare is the part of a limit that the proxies of the server's own region share:
	// most requests for it come from there.
	regionShare = 0.75
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
	regional := int(math.Ceil(regionShare * float64(window)))
	if r.Position < r.InRegion {
		return admission.Apportion(regional, r.Position, r.InRegion)
	}
	return admission.Apportion(window-regional, r.Position-r.InRegion, r.Total-r.InRegion)
}

// Limit is the limit in force.
func (s *ServerState) Limit(now time.Time) Limit {
	if s == nil || !s.hasLimit(now) {
		return Limit{}
	}
	return s.limit
}

// RequestsPerWindow is how many requests the server takes from all proxies together in a window;
// false if it names no limit.
func (s *ServerState) RequestsPerWindow(now time.Time) (int, bool) {
	if s == nil || !s.hasLimit(now) {
		return 0, false
	}
	n := math.Floor(s.limit.PerSecond * limitWindow.Seconds())
	if n >= maxWindowRequests {
		return 0, false
	}
	return max(minWindowRequests, int(n)), true
}

// updateLimit takes in the limit that an answer names, if any. Answers may overtake each
// other: one to a request that was sent before the limit was last named, or found to have
// ended, neither lifts, raises nor renews it.
func (s *ServerState) updateLimit(now, sentAt time.Time, limit Limit, complete bool) {
	later := sentAt.After(s.limitAt)
	switch {
	case limit.Set && later:
		s.setLimit(now, now, limit)
	case limit.Set && s.limit.Set:
		s.setLimit(now, now, s.limit.lower(limit))
	case complete && later && s.limit.Set && now.Sub(s.limitAt) >= limitClearDelay:
		s.setLimit(now, now, Limit{})
	}
}

// setLimit notes what the server said at a moment.
func (s *ServerState) setLimit(now, at time.Time, limit Limit) {
	if limit != s.limit {
		s.changedAt = now
	}
	s.limit, s.limitAt = limit, at
	s.touch(at)
}

func (s *ServerState) hasLimit(now time.Time) bool {
	return s.limit.Set && now.Sub(s.limitAt) < limitTTL
}

// HasRoom reports whether this proxy, with a share of the window, may send one more request.
func (s *ServerState) HasRoom(now time.Time, share int) bool {
	return s.sent.HasRoom(now, limitWindow, share)
}

// NextAllowed is when it may, zero if not before the server says otherwise.
func (s *ServerState) NextAllowed(now time.Time, share int) time.Time {
	return s.sent.NextAllowed(now, limitWindow, share)
}

// RecordSent counts a request to the server.
func (s *ServerState) RecordSent(now time.Time) {
	if s != nil && s.hasLimit(now) {
		s.sent.Record(now)
	}
}
