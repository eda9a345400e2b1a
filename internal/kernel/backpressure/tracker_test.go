package backpressure

import (
	"slices"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	server = quarantine.InstanceID(1)
)

var (
	start = time.Unix(1_000_000, 0)
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func limitSignal(perSecond float64) Signal {
	return Signal{Limit: Limit{Set: true, PerSecond: perSecond}}
}

// Guards against an answer from before a limit that arrives after it and lifts it.
func TestReorderedResponseDoesNotClearLimit(t *testing.T) {
	l := NewTracker()
	l.RecordSignal(at(100), at(50), server, limitSignal(6), true)
	if state := l.RecordSignal(at(110), at(20), server, Signal{}, true); !state.limit.Set {
		t.Error("an answer to an earlier request has lifted the limit")
	}
	if state := l.RecordSignal(at(120), at(30), server, limitSignal(9), true); state.limit.PerSecond != 6 {
		t.Errorf("an answer to an earlier request has raised the limit to %v", state.limit)
	}
	if state := l.RecordSignal(at(300), at(200), server, Signal{}, false); !state.limit.Set {
		t.Error("an answer of which not all is known has lifted the limit")
	}
	if state := l.RecordSignal(at(300), at(200), server, limitSignal(9), true); state.limit.PerSecond != 9 {
		t.Errorf("got %v, want the limit that was named last", state.limit)
	}
	if state := l.RecordSignal(at(900), at(800), server, Signal{}, true); !state.limit.Set {
		t.Error("one answer without the limit, soon after others that named it, has lifted it")
	}
	if state := l.RecordSignal(at(1400), at(1300), server, Signal{}, true); state.limit.Set {
		t.Errorf("got %v, want no limit once a later answer names none", state.limit)
	}
	if state := l.RecordSignal(at(1450), at(350), server, limitSignal(6), true); state.limit.Set {
		t.Errorf("an answer to an earlier request has brought back %v", state.limit)
	}
}

func TestEvents(t *testing.T) {
	l := NewTracker()
	var got []string
	l.OnEvent = func(n Event) { got = append(got, string(n.Type)+" "+n.Limit.String()) }
	for i, s := range []Signal{{}, limitSignal(6), limitSignal(6.1), limitSignal(6.3), limitSignal(8), {}, {Draining: true}, {}, {Draining: true}} {
		l.RecordSignal(at(2000*i+50), at(2000*i), server, s, true)
	}
	want := []string{"server-limit 6/s", "server-limit 8/s", "server-limit ", "server-leaving "}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against a proxy that has no part of a limit, so hears nothing more of the server
// itself, and never sends there again.
func TestMergeClearsLimit(t *testing.T) {
	sender, other := NewTracker(), NewTracker()
	sender.RecordSignal(at(100), at(50), server, limitSignal(6), true)
	if !other.Merge(at(200), sender.Reports(at(150), false)) || other.State(server).Limit(at(200)).PerSecond != 6 {
		t.Fatalf("got %+v, want the limit of 6", other.State(server))
	}
	sender.RecordSignal(at(5100), at(5000), server, Signal{}, true)
	other.Merge(at(5200), sender.Reports(at(5150), false))
	if got := other.State(server).Limit(at(5200)); got.Set {
		t.Errorf("got %v, want no limit", got)
	}
	// What is older than the peer's own word changes nothing.
	other.Merge(at(5300), []Report{{Server: server, Limit: Limit{true, 6}, Age: time.Second}})
	if got := other.State(server).Limit(at(5300)); got.Set {
		t.Errorf("old news brought back %v", got)
	}
}

// Guards against a limit that stays for good where nobody asks the server any more.
func TestLimitExpiresWithoutSignals(t *testing.T) {
	l := NewTracker()
	state := l.RecordSignal(at(0), at(-10), server, limitSignal(6), true)
	if _, limited := state.RequestsPerWindow(at(14_900)); !limited {
		t.Error("the limit is no longer in force 14.9 s after it was named")
	}
	if _, limited := state.RequestsPerWindow(at(15_100)); limited {
		t.Error("the limit is in force 15.1 s after it was named last")
	}
	if l.Tick(at(15_100)); l.State(server) != nil {
		t.Error("the ledger keeps what has run out")
	}
}

func TestTrackerIsBounded(t *testing.T) {
	l := NewTracker()
	for i := range maxStates + 10 {
		l.RecordSignal(at(i), at(i-1), quarantine.InstanceID(i), limitSignal(6), true)
	}
	l.Tick(at(maxStates + 10))
	if len(l.states) != maxStates || l.State(0) != nil {
		t.Errorf("got %d servers, the oldest %v; want %d without the oldest", len(l.states), l.State(0), maxStates)
	}
}

// Guards against a proxy that has just started and sends to a server that leaves.
func TestDrainingReachesNewPeers(t *testing.T) {
	sender, other := NewTracker(), NewTracker()
	sender.RecordSignal(at(100), at(50), server, Signal{Draining: true}, true)
	sender.RecordSignal(at(200), at(150), server, Signal{}, true)
	if !sender.State(server).Draining() {
		t.Fatal("an answer without the word took it back")
	}
	other.Merge(at(30_000), sender.Reports(at(30_000), true))
	if !other.State(server).Draining() {
		t.Error("the peer does not know that the server leaves")
	}
	if got := sender.Reports(at(61_000), true); len(got) > 0 {
		t.Errorf("got %+v a minute later, want no more of a server that must be gone", got)
	}
	for _, minutes := range []int{9, 11} {
		sender.Tick(at(minutes * 60_000))
		if kept := sender.State(server).Draining(); kept != (minutes == 9) {
			t.Errorf("the word is kept after %d minutes: %t", minutes, kept)
		}
	}
}

// Guards against a later answer, or a shorter pause, that cuts a pause short.
func TestPauseIsNotShortened(t *testing.T) {
	l := NewTracker()
	state := l.RecordSignal(at(0), at(-10), server, Signal{Pause: 3 * time.Second}, true)
	l.RecordSignal(at(100), at(50), server, Signal{Pause: time.Second}, true)
	l.RecordSignal(at(200), at(150), server, Signal{}, true)
	if !state.Paused(at(2900)) || state.Paused(at(3000)) || state.PauseRemaining(at(2900)) != 100*time.Millisecond {
		t.Errorf("got a pause until %s, want 3 s", state.PausedUntil())
	}
	l.RecordSignal(at(2500), at(2400), server, Signal{Pause: 2 * time.Second}, true)
	if !state.Paused(at(4400)) {
		t.Error("a pause that was asked for again ends with the first one")
	}
	if got := l.Reports(at(2600), true); len(got) > 0 {
		t.Errorf("got %+v, want nothing for peers: the pause is between the server and this proxy", got)
	}
}
