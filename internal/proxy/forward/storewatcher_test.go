package forward

import (
	"context"
	"net/netip"
	"testing"

	"github.com/gypsumquay/gypsumquay/internal/adapter/peerdrpc"
	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
)

// newSeededDaemon creates a daemon that isn't run and knows a seed, and is a seed itself if isSeed.
func newSeededDaemon(t *testing.T, isSeed bool) *Daemon {
	t.Helper()
	d := newFleet(t, 1).newIdleDaemon()
	d.settings.Seeds = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.9:1")}
	if isSeed {
		d.settings.Seeds = append(d.settings.Seeds, d.settings.Listen.Peers)
	}
	return d
}

// Hundreds of proxies start at once, before any has an entry. Each used to consider itself the
// first of its region and followed the store, whose watches returned for each of the others'
// entries: more calls in two seconds than in a minute of traffic. A proxy with a stale copy must
// follow the store in any case, or a fleet without seeds would get no changes.
func TestOnlySeedsFollowStoreBeforeMembersAreKnown(t *testing.T) {
	for _, c := range []struct {
		name         string
		isSeed, old  bool
		wantFollowed bool
	}{
		{"a seed", true, false, true},
		{"any other with a fresh copy", false, false, false},
		{"any other with a stale copy", false, true, true},
	} {
		d := newSeededDaemon(t, c.isSeed)
		delta := replica.Delta{Revision: 7, Full: true}
		if c.old {
			delta.Age = 3 * maxRetryBackoff
		}
		d.replica.apply("peer", delta)
		if got := d.replica.shouldFollowStore(); got != c.wantFollowed {
			t.Errorf("%s follows the store: %t, want %t", c.name, got, c.wantFollowed)
		}
	}
}

// A proxy that starts reads the store unless a seed sends it a copy. The read may be stale unless
// the proxy is to inform the others. What it reads must not be propagated: it used to be sent in
// full to each peer of the region.
func TestInitialReadIsStaleAndNotForwarded(t *testing.T) {
	for _, isSeed := range []bool{true, false} {
		d := newSeededDaemon(t, isSeed)
		var staleRead, propagated bool
		f := &storeWatcher{replica: d.replica, onAdvance: func(replica.Position) { propagated = true }, store: Store{
			Range: func(_ context.Context, _ string, stale bool) ([]KeyValue, StorePosition, error) {
				staleRead = stale
				return []KeyValue{{Key: "key", Revision: 4}}, StorePosition{Revision: 5}, nil
			},
		}}
		if err := f.step(context.Background()); err != nil {
			t.Fatal(err)
		}
		if staleRead == isSeed {
			t.Errorf("seed %t: initial read is stale %t", isSeed, staleRead)
		}
		if propagated {
			t.Errorf("seed %t: initial read was propagated", isSeed)
		}
		if got, want := d.replica.revision(), replica.Position(5); got != want {
			t.Errorf("revision is %d, want %d", got, want)
		}
		if fresh := d.replica.age() < staleReadAge; fresh != isSeed {
			t.Errorf("seed %t: copy is %v old, want a stale read to count for %v", isSeed, d.replica.age(), staleReadAge)
		}
	}
}

// Guards against a whole fleet that reads the store at its first start: copies spread from a few
// seeds in several rounds, and most proxies gave up before one reached them.
func TestFirstStartWaitsWhilePeersHaveCopies(t *testing.T) {
	d := newSeededDaemon(t, false)
	start := d.now().Add(-2 * seedTimeout)
	if d.replica.copyExpected(start) {
		t.Error("a proxy goes on waiting although no peer has a copy")
	}
	d.gossip.merge(peerdrpc.SyncMessage{From: "peer", Delta: replica.Delta{Base: 9, Revision: 9}})
	if !d.replica.copyExpected(start) {
		t.Error("a proxy reads the store although a peer has a copy")
	}
	if d.replica.copyExpected(d.now().Add(-maxSeedTimeout)) {
		t.Errorf("a proxy goes on waiting after %v", maxSeedTimeout)
	}
}
