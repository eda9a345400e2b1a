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

// Guards against a response from before a limit that arrives after it and clears it.
func TestReorderedResponseDoesNotClearLimit(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordSignal(at(100), at(50), server, limitSignal(6), true)
	if state := tracker.RecordSignal(at(110), at(20), server, Signal{}, true); !state.limit.Set {
		t.Error("a response to an earlier request cleared the limit")
	}
	if state := tracker.RecordSignal(at(120), at(30), server, limitSignal(9), true); state.limit.PerSecond != 6 {
		t.Errorf("a response to an earlier request raised the limit to %v", state.limit)
	}
	if state := tracker.RecordSignal(at(300), at(200), server, Signal{}, false); !state.limit.Set {
		t.Error("an incomplete response cleared the limit")
	}
	if state := tracker.RecordSignal(at(300), at(200), server, limitSignal(9), true); state.limit.PerSecond != 9 {
		t.Errorf("got %v, want the limit advertised last", state.limit)
	}
	if state := tracker.RecordSignal(at(900), at(800), server, Signal{}, true); !state.limit.Set {
		t.Error("one response without the limit, soon after others with it, cleared it")
	}
	if state := tracker.RecordSignal(at(1400), at(1300), server, Signal{}, true); state.limit.Set {
		t.Errorf("got %v, want no limit after a later response without one", state.limit)
	}
	if state := tracker.RecordSignal(at(1450), at(350), server, limitSignal(6), true); state.limit.Set {
		t.Errorf("a response to an earlier request restored %v", state.limit)
	}
}

func TestEvents(t *testing.T) {
	tracker := NewTracker()
	var got []string
	tracker.OnEvent = func(event Event) { got = append(got, string(event.Type)+" "+event.Limit.String()) }
	for i, s := range []Signal{{}, limitSignal(6), limitSignal(6.1), limitSignal(6.3), limitSignal(8), {}, {Draining: true}, {}, {Draining: true}} {
		tracker.RecordSignal(at(2000*i+50), at(2000*i), server, s, true)
	}
	want := []string{"server-limit 6/s", "server-limit 8/s", "server-limit ", "server-leaving "}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against a proxy without a share of a limit that never learns that the limit has ended,
// because it receives no responses from the server itself.
func TestMergeClearsLimit(t *testing.T) {
	sender, receiver := NewTracker(), NewTracker()
	sender.RecordSignal(at(100), at(50), server, limitSignal(6), true)
	if !receiver.Merge(at(200), sender.Reports(at(150), false)) || receiver.State(server).Limit(at(200)).PerSecond != 6 {
		t.Fatalf("got %+v, want the limit of 6", receiver.State(server))
	}
	sender.RecordSignal(at(5100), at(5000), server, Signal{}, true)
	receiver.Merge(at(5200), sender.Reports(at(5150), false))
	if got := receiver.State(server).Limit(at(5200)); got.Set {
		t.Errorf("got %v, want no limit", got)
	}
	// A report older than the receiver's own information changes nothing.
	receiver.Merge(at(5300), []Report{{Server: server, Limit: Limit{true, 6}, Age: time.Second}})
	if got := receiver.State(server).Limit(at(5300)); got.Set {
		t.Errorf("an old report restored %v", got)
	}
}

// Guards against a limit that stays forever because no proxy sends requests to the server.
func TestLimitExpiresWithoutSignals(t *testing.T) {
	tracker := NewTracker()
	state := tracker.RecordSignal(at(0), at(-10), server, limitSignal(6), true)
	if _, limited := state.RequestsPerWindow(at(14_900)); !limited {
		t.Error("the limit has expired 14.9 s after it was advertised")
	}
	if _, limited := state.RequestsPerWindow(at(15_100)); limited {
		t.Error("the limit still applies 15.1 s after it was last advertised")
	}
	if tracker.Tick(at(15_100)); tracker.State(server) != nil {
		t.Error("the tracker keeps an expired state")
	}
}

func TestTrackerIsBounded(t *testing.T) {
	tracker := NewTracker()
	for i := range maxStates + 10 {
		tracker.RecordSignal(at(i), at(i-1), quarantine.InstanceID(i), limitSignal(6), true)
	}
	tracker.Tick(at(maxStates + 10))
	if len(tracker.states) != maxStates || tracker.State(0) != nil {
		t.Errorf("got %d servers, the oldest %v; want %d without the oldest", len(tracker.states), tracker.State(0), maxStates)
	}
}

// Guards against a proxy that has just started and sends requests to a draining server.
func TestDrainingReachesNewPeers(t *testing.T) {
	sender, receiver := NewTracker(), NewTracker()
	sender.RecordSignal(at(100), at(50), server, Signal{Draining: true}, true)
	sender.RecordSignal(at(200), at(150), server, Signal{}, true)
	if !sender.State(server).Draining() {
		t.Fatal("a response without the signal reset it")
	}
	receiver.Merge(at(30_000), sender.Reports(at(30_000), true))
	if !receiver.State(server).Draining() {
		t.Error("the peer does not know that the server is draining")
	}
	if got := sender.Reports(at(61_000), true); len(got) > 0 {
		t.Errorf("got %+v a minute later, want no more reports of a server that must have stopped", got)
	}
	for _, minutes := range []int{9, 11} {
		sender.Tick(at(minutes * 60_000))
		if kept := sender.State(server).Draining(); kept != (minutes == 9) {
			t.Errorf("the server counts as draining after %d minutes: %t", minutes, kept)
		}
	}
}

// Guards against a later response without a pause, or with a shorter one, that shortens a pause.
func TestPauseIsNotShortened(t *testing.T) {
	tracker := NewTracker()
	state := tracker.RecordSignal(at(0), at(-10), server, Signal{Pause: 3 * time.Second}, true)
	tracker.RecordSignal(at(100), at(50), server, Signal{Pause: time.Second}, true)
	tracker.RecordSignal(at(200), at(150), server, Signal{}, true)
	if !state.Paused(at(2900)) || state.Paused(at(3000)) || state.PauseRemaining(at(2900)) != 100*time.Millisecond {
		t.Errorf("got a pause until %s, want 3 s", state.PausedUntil())
	}
	tracker.RecordSignal(at(2500), at(2400), server, Signal{Pause: 2 * time.Second}, true)
	if !state.Paused(at(4400)) {
		t.Error("a renewed pause ended with the first one")
	}
	if got := tracker.Reports(at(2600), true); len(got) > 0 {
		t.Errorf("got %+v, want no reports: a pause applies to this proxy only", got)
	}
}
