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
