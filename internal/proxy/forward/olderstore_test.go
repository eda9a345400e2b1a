package forward

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/adapter/peerdrpc"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

func (f *fleet) configure(version uint64) {
	f.store.write("config", testTable{Version: version, Service: "service"})
}

func (f *fleet) allInForce(version uint64) func() bool {
	return func() bool { return f.version(0) == version && f.version(1) == version }
}

// Changes were ignored until the store's revisions had passed those of its lost history.
func TestChangesAreTakenAfterStoreReturnsOlder(t *testing.T) {
	f := newFleet(t, 2)
	f.eventually("the first configuration is in force", f.allInForce(1))
	restore := f.store.snapshot()
	for range 30 {
		f.store.write("noise", 1)
	}
	f.configure(2)
	f.eventually("the second configuration is in force", f.allInForce(2))
	restore()
	time.Sleep(200 * time.Millisecond)
	if f.version(0) != 2 {
		t.Errorf("got version %d after the store has lost version 2, want 2 to stay in force", f.version(0))
	}
	f.configure(2)
	f.configure(3)
	f.eventually("the third configuration is in force", f.allInForce(3))
}

// A watch from a revision that has been given out again returns the changes after it without a sign
// that those before it differ.
func TestRevisionsThatAreGivenOutAgainAreNoticed(t *testing.T) {
	f := newFleet(t, 2)
	f.eventually("requests are served", func() bool { return f.get(0, "/a/x") == http.StatusOK })
	restore := f.store.snapshot()
	for range 3 {
		f.store.write("noise", 1)
	}
	f.eventually("the noise is known", func() bool { return f.daemons[0].replica.revision().Revision() >= f.store.currentRevision() })
	for _, l := range f.links {
		l.setDisconnected(true)
	}
	restore()
	f.store.write("servers/s1", testServer{Service: "service", Domain: "a", Address: addressOf(f.backend.URL), Drains: true})
	for range 20 {
		f.store.write("noise", 2)
	}
	for _, l := range f.links {
		l.setDisconnected(false)
	}
	f.eventually("the server is draining", func() bool {
		return f.get(0, "/a/x") == http.StatusServiceUnavailable && f.get(1, "/a/x") == http.StatusServiceUnavailable
	})
}

// A proxy without a connection to the store must learn from peers that the history has changed.
func TestDisconnectedProxyLearnsOfOlderStoreFromPeer(t *testing.T) {
	f := newFleet(t, 2)
	f.eventually("the first configuration is in force", f.allInForce(1))
	restore := f.store.snapshot()
	for range 30 {
		f.store.write("noise", 1)
	}
	f.configure(2)
	f.eventually("the second configuration is in force", f.allInForce(2))
	f.links[1].setDisconnected(true)
	restore()
	f.configure(3)
	f.eventually("the third configuration is in force", f.allInForce(3))
}

// What a proxy wrote shortly before the store returned is lost, with its lease.
func TestLostEntriesOfProxiesAreWrittenAgain(t *testing.T) {
	f := newFleet(t, 1)
	restore := f.store.snapshot()
	f.start(1, []netip.AddrPort{f.daemons[0].settings.Listen.Peers})
	f.eventually("lookups return both proxies", func() bool { return f.lookupCount(0) == 2 && f.lookupCount(1) == 2 })
	restore()
	f.eventually("the entry is written again", func() bool { return f.store.count(proxyKeyPrefix) == 2 })
	f.eventually("lookups return both proxies again", func() bool { return f.lookupCount(0) == 2 && f.lookupCount(1) == 2 })
}

// A quarantined request whose entry was lost must be stored again, or a loss of power would end the
// quarantine.
func TestLostQuarantineEntryIsStoredAgain(t *testing.T) {
	d := newTwoRegionDaemon(t)
	fingerprint := quarantine.NewFingerprint("GET", "h", "/x", "", nil)
	key := quarantineKeyPrefix + fingerprint.String()
	work := steering.QuarantinedWork{Report: quarantine.Report{Fingerprint: fingerprint}}
	d.replica.apply("peer", replica.Delta{Full: true, Revision: replica.NewPosition(1, 5)})
	d.quarantine.stored[fingerprint] = true
	if d.quarantine.shouldStore(work) {
		t.Fatal("got a stored entry to be stored")
	}
	d.replica.apply("peer", replica.Delta{Full: true, Revision: replica.NewPosition(2, 4)})
	if !d.quarantine.shouldStore(work) {
		t.Errorf("got %s counted as stored after the store has lost it, want it stored again", key)
	}
}

// An evacuation whose entry was lost must not end before the operator could write it again.
func TestLostEvacuationStaysInForce(t *testing.T) {
	d := newTwoRegionDaemon(t)
	domain := ""
	for name := range d.settings.RegionOf {
		domain = name
	}
	evacuated := func() (n int) {
		d.withKernel(func(k *steering.Kernel, _ time.Time) { n = len(k.EvacuatedDomains()) })
		return n
	}
	entry := replica.Entry{Key: d.deps.Names.EvacuationPrefix + domain, Value: []byte("{}"), Revision: replica.NewPosition(1, 5)}
	d.replica.apply("peer", replica.Delta{Full: true, Revision: replica.NewPosition(1, 5), Entries: []replica.Entry{entry}})
	d.replica.apply("peer", replica.Delta{Full: true, Revision: replica.NewPosition(2, 4)})
	d.replica.endEvacuations()
	if evacuated() != 1 {
		t.Error("got the evacuation ended when the store lost it, want it to stay")
	}
	d.replica.evacuationEnds[domain] = d.now()
	d.replica.endEvacuations()
	if evacuated() != 0 {
		t.Error("got the evacuation in force after the operator had time to write it again, want it ended")
	}
}

// A store that is behind the copy in the same era must not be asked without a pause.
func TestStoreBehindCopyIsNotReadInALoop(t *testing.T) {
	d := newTwoRegionDaemon(t)
	d.replica.apply("peer", replica.Delta{Full: true, Revision: 100, Age: time.Minute})
	var calls atomic.Int32
	w := &storeWatcher{replica: d.replica, onAdvance: func(replica.Position) {}, onUnchanged: func() {}, store: Store{
		Watch: func(context.Context, string, uint64, time.Duration) ([]KeyValue, uint64, error) {
			calls.Add(1)
			return nil, 0, &StoreError{Code: StoreCompacted}
		},
		Range: func(context.Context, string, bool) ([]KeyValue, StorePosition, error) {
			return nil, StorePosition{Revision: 90}, nil
		},
	}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	w.run(ctx)
	if got := calls.Load(); got == 0 || got > 10 {
		t.Errorf("got %d watches in a second, want a few", got)
	}
}

// Peers of the version before report no era. They follow the first history that this proxy knew.
func TestMessagesWithoutEraBelongToTheFirst(t *testing.T) {
	d := newTwoRegionDaemon(t)
	d.replica.apply("peer", replica.Delta{Full: true, Revision: replica.NewPosition(3, 10)})
	entry := func(version uint64, revision replica.Position) []replica.Entry {
		data, err := json.Marshal(testTable{Version: version, Service: "service"})
		if err != nil {
			t.Fatal(err)
		}
		return []replica.Entry{{Key: d.deps.Names.ConfigurationKey, Value: data, Revision: revision}}
	}
	receive := func(delta replica.Delta) {
		d.gossip.handle(context.Background(), peerdrpc.SyncMessage{From: "peer", Delta: delta})
	}
	receive(replica.Delta{Base: 10, Revision: 11, Entries: entry(5, 11)})
	if got, want := d.replica.revision(), replica.NewPosition(3, 11); got != want {
		t.Errorf("got position %s, want %s", got, want)
	}
	d.replica.apply("peer", replica.Delta{Full: true, Revision: replica.NewPosition(4, 8)})
	receive(replica.Delta{Base: 11, Revision: 12, Entries: entry(6, 12)})
	if got, want := d.replica.revision(), replica.NewPosition(4, 8); got != want {
		t.Errorf("got position %s after a message of the lost history, want %s", got, want)
	}
}
