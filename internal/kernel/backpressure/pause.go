package backpressure

import (
	"time"
)

// updatePause takes in for how long the server wants nothing from this proxy. What it has
// asked for before stands.
func (t *Tracker) updatePause(state *ServerState, now time.Time, pause time.Duration) {
	until := now.Add(pause)
	if pause <= 0 || !until.After(state.pausedUntil) {
		return
	}
	started := !now.Before(state.pausedUntil)
	state.pausedUntil = until
	state.touch(now)
	if started {
		t.OnEvent(Event{Server: state.server, Type: EventPause, Pause: pause})
	}
}

// Paused reports whether the server wants nothing from this proxy now.
func (s *ServerState) Paused(now time.Time) bool { return s != nil && now.Before(s.pausedUntil) }

// PauseRemaining is for how much longer it does not.
func (s *ServerState) PauseRemaining(now time.Time) time.Duration {
	if !s.Paused(now) {
		return 0
	}
	return s.pausedUntil.Sub(now)
}

// PausedUntil is when the server takes requests from this proxy again.
func (s *ServerState) PausedUntil() time.Time { return s.pausedUntil }
