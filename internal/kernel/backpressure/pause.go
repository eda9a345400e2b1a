package backpressure

import (
	"time"
)

// updatePause records a pause that the server requested of this proxy. It never shortens an earlier
// one.
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

// Paused reports whether the server currently accepts no requests from this proxy.
func (s *ServerState) Paused(now time.Time) bool { return s != nil && now.Before(s.pausedUntil) }

// PauseRemaining returns how much of the pause remains.
func (s *ServerState) PauseRemaining(now time.Time) time.Duration {
	if !s.Paused(now) {
		return 0
	}
	return s.pausedUntil.Sub(now)
}

// PausedUntil returns the end of the pause.
func (s *ServerState) PausedUntil() time.Time { return s.pausedUntil }
