package backpressure

import (
	"time"
)

const (
	// drainingTTL is how long the word of a server that leaves is kept after it was last
	// heard. Its registration may run out and come back meanwhile.
	drainingTTL = 10 * time.Minute
	// drainingGossipPeriod is how long peers are told of it: those that start know nothing.
	drainingGossipPeriod = time.Minute
)

// Draining reports whether the server takes no new requests any more.
func (s *ServerState) Draining() bool { return s != nil && s.draining }

// updateDraining takes in whether the server said at a moment that it leaves. A start of a
// server that leaves does not come back, so the word stays.
func (s *ServerState) updateDraining(now, at time.Time, draining bool) {
	if !draining {
		return
	}
	if !s.draining {
		s.draining, s.changedAt = true, now
	}
	s.touch(at)
}
