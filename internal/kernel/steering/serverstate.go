package steering

import (
	"time"
)

const (
	// StateNone is the state for a request that was not sent.
	StateNone ServerState = ""
	// StateCold is a server that has just started.
	StateCold ServerState = "cold"
	// StateEjected is a server that failed and is being tried again.
	StateEjected ServerState = "out"
	// StateFull is a server with all slots in use.
	StateFull ServerState = "full"
	// StateInUse is any other server.
	StateInUse ServerState = "in-use"
)

type (
	// ServerState is the state of a server when a request was sent to it.
	ServerState string
)

// state returns the state of the server before it gets another request.
func (s *server) state(now time.Time) ServerState {
	switch {
	case s.isCold(now):
		return StateCold
	case s.ejections > 0:
		return StateEjected
	case s.load(now) >= float64(s.currentSlots(now)):
		return StateFull
	}
	return StateInUse
}
