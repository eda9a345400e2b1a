package backpressure

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	// noticeFrom is by which part of itself a limit must change to be told of.
	noticeFrom = 0.1
	// statesMost bounds the servers of which something is kept.
	statesMost = 4096
)

const (
	// ChangeLimit tells of a limit that is named, another one, or none any more.
	ChangeLimit Change = "server-limit"
	// ChangePause tells of a server that wants nothing from this proxy for a while.
	ChangePause Change = "server-pause"
	// ChangeLeaving tells of a server that leaves by its own word.
	ChangeLeaving Change = "server-leaving"
)

type (
	// Ledger is what one proxy knows of the signals of servers. It is not safe for use by
	// several goroutines at once. Its moments are of the caller's steady clock.
	Ledger struct {
		// Observe is told of changes.
		Observe func(Notice)

		states map[quarantine.Server]*State
	}

	// State is what one start of a server asks.
	State struct {
		server quarantine.Server
		limit  Limit
		// limitAt is when the limit was last named, or found to have ended.
		limitAt time.Time
		// heardAt is when the server last said anything, changedAt when that was something
		// new, toldAt when peers were last told of it.
		heardAt, changedAt, toldAt time.Time
		// leaving is set once the server has said that it leaves.
		leaving bool
		// pausedUntil is until when it wants nothing from this proxy.
		pausedUntil time.Time
		// noticed is what was last told to Observe.
		noticed Signal
		// pace counts this proxy's requests while there is a limit.
		pace admission.Pace
	}

	// Notice tells of a change.
	Notice struct {
		Server quarantine.Server
		Change Change
		Limit  Limit
		// Pause is for how long.
		Pause time.Duration
	}

	// Change names what has changed.
	Change string
)

// NewLedger makes a ledger that knows nothing.
func NewLedger() *Ledger {
	return &Ledger{Observe: func(Notice) {}, states: make(map[quarantine.Server]*State)}
}

// Of is what a server asks, nil for nothing.
func (l *Ledger) Of(s quarantine.Server) *State { return l.states[s] }

// Empty reports whether no server asks anything.
func (l *Ledger) Empty() bool { return len(l.states) == 0 }

func (l *Ledger) state(s quarantine.Server) *State {
	w := &State{server: s}
	l.states[s] = w
	return w
}

// Heard takes in the signal of an answer to a request that was sent at a moment. whole is
// set if all that the answer says is known: what it does not ask then has ended.
func (l *Ledger) Heard(now, sent time.Time, s quarantine.Server, g Signal, whole bool) *State {
	w := l.states[s]
	if w == nil {
		if g.None() {
			return nil
		}
		w = l.state(s)
	}
	w.hearLimit(now, sent, g.Limit, whole)
	w.hearLeaving(now, now, g.Leaving)
	l.hearPause(w, now, g.Pause)
	l.notice(w)
	return w
}

// asks reports whether the server asks anything that is in force.
func (s *State) asks(now time.Time) bool {
	return s.limited(now) || now.Before(s.pausedUntil) || s.leaving && now.Sub(s.heardAt) < leavingFor
}

// heard notes a moment at which the server said something.
func (s *State) heard(at time.Time) {
	if at.After(s.heardAt) {
		s.heardAt = at
	}
}

// Tick drops what has run out.
func (l *Ledger) Tick(now time.Time) {
	for s, w := range l.states {
		if !w.asks(now) && now.Sub(w.changedAt) >= newsFor {
			delete(l.states, s)
		}
	}
	for len(l.states) > statesMost {
		l.dropOldest()
	}
}

func (l *Ledger) dropOldest() {
	var oldest *State
	for _, w := range l.states {
		if oldest == nil || w.heardAt.Before(oldest.heardAt) {
			oldest = w
		}
	}
	delete(l.states, oldest.server)
}

// notice tells of a server that leaves, and of a limit that is named, ends or changes by
// more than a little.
func (l *Ledger) notice(w *State) {
	if w.leaving && !w.noticed.Leaving {
		w.noticed.Leaving = true
		l.Observe(Notice{Server: w.server, Change: ChangeLeaving})
	}
	change := w.limit.PerSecond - w.noticed.Limit.PerSecond
	if w.limit.Named == w.noticed.Limit.Named && max(change, -change) <= noticeFrom*w.noticed.Limit.PerSecond {
		return
	}
	w.noticed.Limit = w.limit
	l.Observe(Notice{Server: w.server, Change: ChangeLimit, Limit: w.limit})
}
