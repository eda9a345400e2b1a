package backpressure

import (
	"time"
)

const (
	// leavingFor is how long the word of a server that leaves is kept after it was last
	// heard. Its registration may run out and come back meanwhile.
	leavingFor = 10 * time.Minute
	// leavingTold is how long peers are told of it: those that start know nothing.
	leavingTold = time.Minute
)

// Draining reports whether the server takes no new requests any more.
func (s *ServerState) Draining() bool { return s != nil && s.leaving }

// hearLeaving takes in whether the server said at a moment that it leaves. A start of a
// server that leaves does not come back, so the word stays.
func (s *ServerState) hearLeaving(now, at time.Time, leaving bool) {
	if !leaving {
		return
	}
	if !s.leaving {
		s.leaving, s.changedAt = true, now
	}
	s.heard(at)
}
