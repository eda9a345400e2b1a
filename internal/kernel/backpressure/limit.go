package backpressure

import (
	"math"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
)

const (
	// limitWindow is the length of the sliding window over which a limit is enforced.
	limitWindow = 4 * time.Second
	// limitTTL is how long a limit applies after the last response at any proxy that advertised it.
	// A server that receives no requests sends no signals, and one that has dropped its limit can
	// inform only proxies that still send requests.
	limitTTL = 15 * time.Second
	// limitClearDelay is how long the limit must be missing from responses before it is cleared. A
	// server that advertises it in only some responses still requests it.
	limitClearDelay = time.Second
	// minWindowRequests is the number of requests per window that even the lowest limit permits:
	// without any, no proxy would learn that the limit has ended.
	minWindowRequests = 1
	// maxWindowRequests is the number of requests per window from which a limit is not enforced:
	// one proxy does not reach it.
	maxWindowRequests = 1 << 14
	// regionShare is the part of a limit that is reserved for the proxies in the server's own
	// region, because most of its requests come from there.
	regionShare = 0.75
)

type (
	// ProxyRank is the position of a proxy in the order of all proxies, those in the server's
	// region first.
	ProxyRank struct {
		Position int
		// InRegion counts the proxies in the server's region, Total all proxies.
		InRegion, Total int
	}
)

// Share returns the proxy's part of the requests that a server accepts in a window. The parts of
// all proxies add up to the window without communication, so the limit also holds among proxies
// that cannot reach each other.
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

// Limit returns the limit that currently applies.
func (s *ServerState) Limit(now time.Time) Limit {
	if s == nil || !s.hasLimit(now) {
		return Limit{}
	}
	return s.limit
}

// RequestsPerWindow returns how many requests per window the server accepts from all proxies
// together. It returns false if no limit applies or the limit is too high to be enforced.
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

// updateLimit applies the limit that a response advertises, if any. Responses may arrive out of
// order: a response to a request sent before the limit was last advertised or cleared may lower the
// limit, but does not clear, raise or restore it.
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

// setLimit records the limit that the server advertised at the given time.
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

// HasRoom reports whether this proxy may send one more request, given its share of the window.
func (s *ServerState) HasRoom(now time.Time, share int) bool {
	return s.sent.HasRoom(now, limitWindow, share)
}

// NextAllowed returns when this proxy may send its next request, given its share of the window, or
// the zero time if its share is zero.
func (s *ServerState) NextAllowed(now time.Time, share int) time.Time {
	return s.sent.NextAllowed(now, limitWindow, share)
}

// RecordSent counts a request sent to the server.
func (s *ServerState) RecordSent(now time.Time) {
	if s != nil && s.hasLimit(now) {
		s.sent.Record(now)
	}
}
