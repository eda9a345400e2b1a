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
	// EventLimit tells of a limit that is named, another one, or none any more.
	EventLimit EventType = "server-limit"
	// EventPause tells of a server that wants nothing from this proxy for a while.
	EventPause EventType = "server-pause"
	// EventDraining tells of a server that leaves by its own word.
	EventDraining EventType = "server-leaving"
)

type (
	// Tracker is what one proxy knows of the signals of servers. It is not safe for use by
	// several goroutines at once. Its moments are of the caller's steady clock.
	Tracker struct {
		// OnEvent is told of changes.
		OnEvent func(Event)

		states map[quarantine.InstanceID]*ServerState
	}

	// ServerState is what one start of a server asks.
	ServerState struct {
		server quarantine.InstanceID
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
		pace admission.SlidingWindow
	}

	// Event tells of a change.
	Event struct {
		Server quarantine.InstanceID
		Type   EventType
		Limit  Limit
		// Pause is for how long.
		Pause time.Duration
	}

	// EventType names what has changed.
	EventType string
)

// NewTracker makes a ledger that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{OnEvent: func(Event) {}, states: make(map[quarantine.InstanceID]*ServerState)}
}

// State is what a server asks, nil for nothing.
func (l *Tracker) State(s quarantine.InstanceID) *ServerState { return l.states[s] }

// Empty reports whether no server asks anything.
func (l *Tracker) Empty() bool { return len(l.states) == 0 }

func (l *Tracker) addState(s quarantine.InstanceID) *ServerState {
	w := &ServerState{server: s}
	l.states[s] = w
	return w
}

// RecordSignal takes in the signal of an answer to a request that was sent at a moment. whole is
// set if all that the answer says is known: what it does not ask then has ended.
func (l *Tracker) RecordSignal(now, sent time.Time, s quarantine.InstanceID, g Signal, whole bool) *ServerState {
	w := l.states[s]
	if w == nil {
		if g.IsEmpty() {
			return nil
		}
		w = l.addState(s)
	}
	w.hearLimit(now, sent, g.Limit, whole)
	w.hearLeaving(now, now, g.Draining)
	l.hearPause(w, now, g.Pause)
	l.notice(w)
	return w
}

// asks reports whether the server asks anything that is in force.
func (s *ServerState) asks(now time.Time) bool {
	return s.limited(now) || now.Before(s.pausedUntil) || s.leaving && now.Sub(s.heardAt) < leavingFor
}

// heard notes a moment at which the server said something.
func (s *ServerState) heard(at time.Time) {
	if at.After(s.heardAt) {
		s.heardAt = at
	}
}

// Tick drops what has run out.
func (l *Tracker) Tick(now time.Time) {
	for s, w := range l.states {
		if !w.asks(now) && now.Sub(w.changedAt) >= newsFor {
			delete(l.states, s)
		}
	}
	for len(l.states) > statesMost {
		l.dropOldest()
	}
}

func (l *Tracker) dropOldest() {
	var oldest *ServerState
	for _, w := range l.states {
		if oldest == nil || w.heardAt.Before(oldest.heardAt) {
			oldest = w
		}
	}
	delete(l.states, oldest.server)
}

// notice tells of a server that leaves, and of a limit that is named, ends or changes by
// more than a little.
func (l *Tracker) notice(w *ServerState) {
	if w.leaving && !w.noticed.Draining {
		w.noticed.Draining = true
		l.OnEvent(Event{Server: w.server, Type: EventDraining})
	}
	change := w.limit.PerSecond - w.noticed.Limit.PerSecond
	if w.limit.Set == w.noticed.Limit.Set && max(change, -change) <= noticeFrom*w.noticed.Limit.PerSecond {
		return
	}
	w.noticed.Limit = w.limit
	l.OnEvent(Event{Server: w.server, Type: EventLimit, Limit: w.limit})
}
