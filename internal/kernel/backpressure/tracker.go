package backpressure

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	// minLimitChange is the relative change of a limit above which an event is emitted.
	minLimitChange = 0.1
	// maxStates bounds the number of servers that are tracked.
	maxStates = 4096
)

const (
	// EventLimit reports a limit that was set, changed or cleared.
	EventLimit EventType = "server-limit"
	// EventPause reports a server that requested a pause of this proxy.
	EventPause EventType = "server-pause"
	// EventDraining reports a server that announced that it is draining.
	EventDraining EventType = "server-leaving"
)

type (
	// Tracker holds what one proxy knows about the signals of servers. It is not safe for
	// concurrent use. Its times are those of the caller's monotonic clock.
	Tracker struct {
		// OnEvent is called for each event.
		OnEvent func(Event)

		states map[quarantine.InstanceID]*ServerState
	}

	// ServerState holds the signals of one run of a server process.
	ServerState struct {
		server quarantine.InstanceID
		limit  Limit
		// limitAt is when the limit was last advertised or cleared.
		limitAt time.Time
		// lastSignalAt is when the server last sent a signal, changedAt when a signal last changed,
		// reportedAt when peers were last informed.
		lastSignalAt, changedAt, reportedAt time.Time
		// draining is set once the server has announced that it is draining.
		draining bool
		// pausedUntil is the end of the pause that the server requested of this proxy.
		pausedUntil time.Time
		// announced is the signal last passed to OnEvent.
		announced Signal
		// sent counts this proxy's requests to the server while a limit applies.
		sent admission.SlidingWindow
	}

	// Event describes a change in the signals of a server.
	Event struct {
		Server quarantine.InstanceID
		Type   EventType
		Limit  Limit
		// Pause is the length of the pause.
		Pause time.Duration
	}

	// EventType is the kind of an Event.
	EventType string
)

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{OnEvent: func(Event) {}, states: make(map[quarantine.InstanceID]*ServerState)}
}

// State returns the signals of a server, or nil if there are none.
func (t *Tracker) State(server quarantine.InstanceID) *ServerState { return t.states[server] }

// Empty reports whether no server has sent a signal.
func (t *Tracker) Empty() bool { return len(t.states) == 0 }

func (t *Tracker) addState(server quarantine.InstanceID) *ServerState {
	state := &ServerState{server: server}
	t.states[server] = state
	return state
}

// RecordSignal records the signal of a response to a request that was sent at sentAt. complete is
// set if all signals of the response are known, so that a missing limit means that there is none.
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

// active reports whether any signal of the server still applies.
func (s *ServerState) active(now time.Time) bool {
	return s.hasLimit(now) || now.Before(s.pausedUntil) || s.draining && now.Sub(s.lastSignalAt) < drainingTTL
}

// touch updates the time of the last signal.
func (s *ServerState) touch(at time.Time) {
	if at.After(s.lastSignalAt) {
		s.lastSignalAt = at
	}
}

// Tick removes expired states.
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

// emitEvents reports a server that starts draining, and a limit that is set, cleared or changed by
// more than minLimitChange.
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
