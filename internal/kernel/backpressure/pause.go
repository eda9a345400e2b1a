package backpressure

import (
	"time"
)

// hearPause takes in for how long the server wants nothing from this proxy. What it has
// asked for before stands.
func (l *Ledger) hearPause(w *Word, now time.Time, pause time.Duration) {
	until := now.Add(pause)
	if pause <= 0 || !until.After(w.pausedUntil) {
		return
	}
	began := !now.Before(w.pausedUntil)
	w.pausedUntil = until
	w.heard(now)
	if began {
		l.Observe(Notice{Server: w.server, Change: ChangePause, Pause: pause})
	}
}

// Paused reports whether the server wants nothing from this proxy now.
func (w *Word) Paused(now time.Time) bool { return w != nil && now.Before(w.pausedUntil) }

// PausedFor is for how much longer it does not.
func (w *Word) PausedFor(now time.Time) time.Duration {
	if !w.Paused(now) {
		return 0
	}
	return w.pausedUntil.Sub(now)
}

// PausedUntil is when the server takes requests from this proxy again.
func (w *Word) PausedUntil() time.Time { return w.pausedUntil }
