package backpressure

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	// noticeFrom is by which part of itself a limit must change to be told of.
	noticeFrom = 0.1
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
		// noticed is the limit that was last told of.
		noticed Limit
	}

	// Notice tells of a change.
	Notice struct {
		Server quarantine.Server
		Limit  Limit
	}
)

// NewLedger makes a ledger that knows nothing.
func NewLedger() *Ledger {
	return &Ledger{Observe: func(Notice) {}, words: make(map[quarantine.Server]*Word)}
}

// Of is what a server asks, nil for nothing.
func (l *Ledger) Of(s quarantine.Server) *Word { return l.words[s] }

// Heard takes in the signal of an answer to a request that was sent at a moment. whole is
// set if all that the answer says is known: what it does not ask then has ended.
func (l *Ledger) Heard(now, sent time.Time, s quarantine.Server, g Signal, whole bool) *Word {
	w := l.words[s]
	if w == nil {
		if !g.Limit.Named {
			return nil
		}
		w = &Word{server: s}
		l.words[s] = w
	}
	w.hearLimit(now, sent, g.Limit, whole)
	l.notice(w)
	return w
}

// hearLimit takes in a limit, or that none is named any more. Answers may overtake each
// other: one to a request that was sent before the limit was last named does not lift it.
func (w *Word) hearLimit(now, sent time.Time, limit Limit, whole bool) {
	later := sent.After(w.limitAt)
	switch {
	case limit.Named && later:
		w.limit, w.limitAt = limit, now
	case limit.Named:
		w.limit, w.limitAt = w.limit.lower(limit), now
	case whole && later && w.limit.Named:
		w.limit, w.limitAt = Limit{}, now
	}
}

// notice tells of a limit that is named, ends or changes by more than a little.
func (l *Ledger) notice(w *Word) {
	change := w.limit.PerSecond - w.noticed.PerSecond
	if w.limit.Named == w.noticed.Named && max(change, -change) <= noticeFrom*w.noticed.PerSecond {
		return
	}
	w.noticed = w.limit
	l.Observe(Notice{Server: w.server, Limit: w.limit})
}
