package peer

import (
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
)

var (
	start = time.Unix(1_000_000, 0)
)

func member(name string, incarnation uint64, state MemberState) Member {
	return Member{Name: name, Incarnation: incarnation, State: state}
}

// TestSuspicionIsRefuted: a proxy was slow and its peers take it for dead. It
// hears so itself and says that it lives, with a newer record; callers are
// sent to it again.
func TestSuspicionIsRefuted(t *testing.T) {
	slow := NewMembers(member("a", 1, StateLive), start)
	peer := NewMembers(member("b", 1, StateLive), start)
	peer.Merge(slow.Self(), start)
	peer.RecordFailure("a", start)
	peer.RecordFailure("a", start)
	suspect, _ := peer.Get("a")
	if got, want := suspect.State, StateSuspect; got != want {
		t.Fatalf("got state %s, want %s", got, want)
	}
	slow.Merge(suspect, start)
	peer.Merge(slow.Self(), start)
	again, _ := peer.Get("a")
	if got, want := again.State, StateLive; got != want {
		t.Errorf("got state %s after the refutation, want %s", got, want)
	}
}

// TestHeirOfAChainOfStops: a minter stops and leaves its records to a peer,
// which stops later and leaves them on. A repeat must find the last one, also
// when the first VM runs a new incarnation by then.
func TestHeirOfAChainOfStops(t *testing.T) {
	m := NewMembers(member("self", 1, StateLive), start)
	first := member("a", 1, StateGone)
	first.Successor = "b"
	second := member("b", 1, StateGone)
	second.Successor = "c"
	m.Merge(first, start)
	m.Merge(second, start)
	m.Merge(member("c", 1, StateLive), start)
	m.Merge(member("a", 2, StateLive), start)
	heir, ok := m.TokenOwner(caller.Minter{Name: "a", Incarnation: 1})
	if got, want := heir.Name, "c"; !ok || got != want {
		t.Errorf("got heir %q, %v; want %q", got, ok, want)
	}
	if _, ok := m.TokenOwner(caller.Minter{Name: "a", Incarnation: 7}); ok {
		t.Error("got an heir for an incarnation that never was, want none")
	}
}
