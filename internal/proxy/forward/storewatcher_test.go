package forward

import (
	"context"
	"net/netip"
	"testing"

	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
)

// newSeededDaemon is a proxy that never runs and knows a seed, which it is itself or not.
func newSeededDaemon(t *testing.T, isSeed bool) *Daemon {
	t.Helper()
	d := newFleet(t, 1).newIdleDaemon()
	d.settings.Seeds = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.9:1")}
	if isSeed {
		d.settings.Seeds = append(d.settings.Seeds, d.settings.Listen.Peers)
	}
	return d
}

// Hundreds of proxies start at once, and no entry is there yet. Each took itself for
// the first of its region and followed the store, which answered it at each entry of
// the others: more calls in two seconds than in a minute of traffic. A copy that
// grows old is followed by whoever has it, or a fleet without seeds would hear nothing.
func TestOnlySeedsFollowStoreBeforeMembersAreKnown(t *testing.T) {
	for _, c := range []struct {
		name         string
		isSeed, old  bool
		wantFollowed bool
	}{
		{"a seed", true, false, true},
		{"any other with a fresh copy", false, false, false},
		{"any other with an old copy", false, true, true},
	} {
		d := newSeededDaemon(t, c.isSeed)
		delta := replica.Delta{Revision: 7, Whole: true}
		if c.old {
			delta.Age = 3 * maxRetryBackoff
		}
		d.replica.apply(delta)
		if got := d.replica.shouldFollowStore(); got != c.wantFollowed {
			t.Errorf("%s follows the store: %t, want %t", c.name, got, c.wantFollowed)
		}
	}
}

// A proxy that starts reads the store unless a seed gives it a copy. Its reading need
// not be of this moment, unless it is to tell the others; and what it has read is news
// to nobody: it was sent whole to each peer of the region.
func TestInitialReadIsStaleAndNotForwarded(t *testing.T) {
	for _, isSeed := range []bool{true, false} {
		d := newSeededDaemon(t, isSeed)
		var gotStale, passedOn bool
		f := &storeWatcher{replica: d.replica, onAdvance: func(uint64) { passedOn = true }, store: Store{
			Range: func(_ context.Context, _ string, stale bool) ([]KeyValue, uint64, error) {
				gotStale = stale
				return []KeyValue{{Key: "key", Revision: 4}}, 5, nil
			},
		}}
		if err := f.step(context.Background()); err != nil {
			t.Fatal(err)
		}
		if gotStale == isSeed {
			t.Errorf("a seed: %t; its first reading is stale: %t", isSeed, gotStale)
		}
		if passedOn {
			t.Errorf("a seed: %t; its first reading was passed on, want not", isSeed)
		}
		if got, want := d.replica.revision(), uint64(5); got != want {
			t.Errorf("revision is %d, want %d", got, want)
		}
		if fresh := d.replica.age() < staleReadAge; fresh != isSeed {
			t.Errorf("a seed: %t; its copy is %v old, want a stale reading to count for %v", isSeed, d.replica.age(), staleReadAge)
		}
	}
}
