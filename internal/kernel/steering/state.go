package steering

import (
	"time"
)

const (
	// StateNone goes with a request that was not sent.
	StateNone ServerState = ""
	// StateCold is a server that has just started.
	StateCold ServerState = "cold"
	// StateEjected is a server that failed and is tried again.
	StateEjected ServerState = "out"
	// StateFull is a server all of whose slots are taken.
	StateFull ServerState = "full"
	// StateInUse is any other.
	StateInUse ServerState = "in-use"
)

type (
	// ServerState is how a server stood when a request was sent there.
	ServerState string
)

// state is how the server stands before it gets one more request.
func (s *server) state(now time.Time) ServerState {
	switch {
	case s.isCold(now):
		return StateCold
	case s.ejections > 0:
		return StateEjected
	case s.load(now) >= float64(s.Slots):
		return StateFull
	}
	return StateInUse
}
