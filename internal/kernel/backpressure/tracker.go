package backpressure

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	// minLimitChange is by which part of itself a limit must change to be told of.
	minLimitChange = 0.1
	// maxStates bounds the servers of which something is kept.
	maxStates = 4096
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
		// lastSignalAt is when the server last said anything, changedAt when that was something
		// new, toldAt when peers were last told of it.
		lastSignalAt, changedAt, reportedAt time.Time
		// draining is set once the server has said that it leaves.
		draining bool
		// pausedUntil is until when it wants nothing from this proxy.
		pausedUntil time.Time
		// announced is what was last told to Observe.
		announced Signal
		// sent counts this proxy's requests while there is a limit.
		sent admission.SlidingWindow
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
func (t *Tracker) State(server quarantine.InstanceID) *ServerState { return t.states[server] }

// Empty reports whether no server asks anything.
func (t *Tracker) Empty() bool { return len(t.states) == 0 }

func (t *Tracker) addState(server quarantine.InstanceID) *ServerState {
	state := &ServerState{server: server}
	t.states[server] = state
	return state
}

// RecordSignal takes in the signal of an answer to a request that was sent at a moment. whole is
// set if all that the answer says is known: what it does not ask then has ended.
func (t *Tracker) RecordSignal(now, sentAt time.Time, server quarantine.InstanceID, signal Signal, complete bool) *ServerState {
	state := t.states[server]
	if state == nil {
		if signal.IsEmpty() {
			return nil
		}
		state = t.addState(server)
	}
	state.updateLimit(now, sentAt, signal.Limit, complete)
	state.updateDraining(now, now, signal.Draining)
	t.updatePause(state, now, signal.Pause)
	t.emitEvents(state)
	return state
}

// active reports whether the server asks anything that is in force.
func (s *ServerState) active(now time.Time) bool {
	return s.hasLimit(now) || now.Before(s.pausedUntil) || s.draining && now.Sub(s.lastSignalAt) < drainingTTL
}

// touch notes a moment at which the server said something.
func (s *ServerState) touch(at time.Time) {
	if at.After(s.lastSignalAt) {
		s.lastSignalAt = at
	}
}

// Tick drops what has run out.
func (t *Tracker) Tick(now time.Time) {
	for server, state := range t.states {
		if !state.active(now) && now.Sub(state.changedAt) >= changeGossipPeriod {
			delete(t.states, server)
		}
	}
	for len(t.states) > maxStates {
		t.evictOldest()
	}
}

func (t *Tracker) evictOldest() {
	var oldest *ServerState
	for _, state := range t.states {
		if oldest == nil || state.lastSignalAt.Before(oldest.lastSignalAt) {
			oldest = state
		}
	}
	delete(t.states, oldest.server)
}

// emitEvents tells of a server that leaves, and of a limit that is named, ends or changes by
// more than a little.
func (t *Tracker) emitEvents(state *ServerState) {
	if state.draining && !state.announced.Draining {
		state.announced.Draining = true
		t.OnEvent(Event{Server: state.server, Type: EventDraining})
	}
	change := state.limit.PerSecond - state.announced.Limit.PerSecond
	if state.limit.Set == state.announced.Limit.Set && max(change, -change) <= minLimitChange*state.announced.Limit.PerSecond {
		return
	}
	state.announced.Limit = state.limit
	t.OnEvent(Event{Server: state.server, Type: EventLimit, Limit: state.limit})
}
