package backpressure

import (
	"time"
)

const (
	// drainingTTL is how long a server is remembered as draining after its last signal. Its
	// registration may expire and reappear in the meantime.
	drainingTTL = 10 * time.Minute
	// drainingGossipPeriod is how long peers are informed that a server is draining, for the
	// benefit of proxies that have just started.
	drainingGossipPeriod = time.Minute
)

// Draining reports whether the server accepts no new requests.
func (s *ServerState) Draining() bool { return s != nil && s.draining }

// updateDraining records whether the server announced at the given time that it is draining. A
// draining server process does not resume, so the state is never reset.
func (s *ServerState) updateDraining(now, at time.Time, draining bool) {
	if !draining {
		return
	}
	if !s.draining {
		s.draining, s.changedAt = true, now
	}
	s.touch(at)
}
