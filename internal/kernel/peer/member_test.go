package peer

import (
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
)

var (
	testTime = time.Unix(1_000_000, 0)
)

func newMember(name string, incarnation uint64, state MemberState) Member {
	return Member{Name: name, Incarnation: incarnation, State: state}
}

// TestSuspicionIsRefuted checks that a slow proxy that its peers suspect of being dead refutes the
// suspicion with a newer record once it learns of it, and is live again for its peers.
func TestSuspicionIsRefuted(t *testing.T) {
	slow := NewMembers(newMember("a", 1, StateLive), testTime)
	peer := NewMembers(newMember("b", 1, StateLive), testTime)
	peer.Merge(slow.Self(), testTime)
	peer.RecordFailure("a", testTime)
	peer.RecordFailure("a", testTime)
	suspect, _ := peer.Get("a")
	if got, want := suspect.State, StateSuspect; got != want {
		t.Fatalf("got state %s, want %s", got, want)
	}
	slow.Merge(suspect, testTime)
	peer.Merge(slow.Self(), testTime)
	again, _ := peer.Get("a")
	if got, want := again.State, StateLive; got != want {
		t.Errorf("got state %s after the refutation, want %s", got, want)
	}
}

// TestTokenOwnerAfterChainOfGracefulShutdowns covers a minter that stops and hands its records over
// to a peer, which later stops and hands them over in turn. A retry must find the last successor,
// even if the minter's VM runs a new incarnation by then.
func TestTokenOwnerAfterChainOfGracefulShutdowns(t *testing.T) {
	m := NewMembers(newMember("self", 1, StateLive), testTime)
	first := newMember("a", 1, StateGone)
	first.Successor = "b"
	second := newMember("b", 1, StateGone)
	second.Successor = "c"
	m.Merge(first, testTime)
	m.Merge(second, testTime)
	m.Merge(newMember("c", 1, StateLive), testTime)
	m.Merge(newMember("a", 2, StateLive), testTime)
	owner, ok := m.TokenOwner(caller.Minter{Name: "a", Incarnation: 1})
	if got, want := owner.Name, "c"; !ok || got != want {
		t.Errorf("got owner %q, %v; want %q", got, ok, want)
	}
	if _, ok := m.TokenOwner(caller.Minter{Name: "a", Incarnation: 7}); ok {
		t.Error("got an owner for an incarnation that never existed, want none")
	}
}
