package backpressure

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	// noticeFrom is by which part of itself a limit must change to be told of.
	noticeFrom = 0.1
	// wordsMost bounds the servers of which something is kept.
	wordsMost = 4096
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

		words map[quarantine.Server]*Word
	}

	// Word is what one start of a server asks.
	Word struct {
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
	return &Ledger{Observe: func(Notice) {}, words: make(map[quarantine.Server]*Word)}
}

// Of is what a server asks, nil for nothing.
func (l *Ledger) Of(s quarantine.Server) *Word { return l.words[s] }

// Empty reports whether no server asks anything.
func (l *Ledger) Empty() bool { return len(l.words) == 0 }

func (l *Ledger) word(s quarantine.Server) *Word {
	w := &Word{server: s}
	l.words[s] = w
	return w
}

// Heard takes in the signal of an answer to a request that was sent at a moment. whole is
// set if all that the answer says is known: what it does not ask then has ended.
func (l *Ledger) Heard(now, sent time.Time, s quarantine.Server, g Signal, whole bool) *Word {
	w := l.words[s]
	if w == nil {
		if g.None() {
			return nil
		}
		w = l.word(s)
	}
	w.hearLimit(now, sent, g.Limit, whole)
	w.hearLeaving(now, now, g.Leaving)
	l.hearPause(w, now, g.Pause)
	l.notice(w)
	return w
}

// asks reports whether the server asks anything that is in force.
func (w *Word) asks(now time.Time) bool {
	return w.limited(now) || now.Before(w.pausedUntil) || w.leaving && now.Sub(w.heardAt) < leavingFor
}

// heard notes a moment at which the server said something.
func (w *Word) heard(at time.Time) {
	if at.After(w.heardAt) {
		w.heardAt = at
	}
}

// Tick drops what has run out.
func (l *Ledger) Tick(now time.Time) {
	for s, w := range l.words {
		if !w.asks(now) && now.Sub(w.changedAt) >= newsFor {
			delete(l.words, s)
		}
	}
	for len(l.words) > wordsMost {
		l.dropOldest()
	}
}

func (l *Ledger) dropOldest() {
	var oldest *Word
	for _, w := range l.words {
		if oldest == nil || w.heardAt.Before(oldest.heardAt) {
			oldest = w
		}
	}
	delete(l.words, oldest.server)
}

// notice tells of a server that leaves, and of a limit that is named, ends or changes by
// more than a little.
func (l *Ledger) notice(w *Word) {
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
