package forward

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/adapter/peerdrpc"
	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
	"github.com/gypsumquay/gypsumquay/internal/proxy/sleep"
)

// newIdleDaemon creates a daemon that isn't run, with the dependencies of one that is.
func (f *fleet) newIdleDaemon() *Daemon {
	f.t.Helper()
	s := *f.daemons[0].settings
	d, err := New(&s, f.daemons[0].deps)
	if err != nil {
		f.t.Fatal(err)
	}
	return d
}

// servePeer serves the exchanges of proxies with a function.
func servePeer(t *testing.T, handle func(peerdrpc.SyncMessage) peerdrpc.SyncMessage) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- peerdrpc.ServeSync(ctx, listener, peerdrpc.SyncHandlers{Sync: handle}) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
			t.Errorf("peer server ended with %v", err)
		}
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// Hundreds of proxies restart while the store is down, and all know the same seed, which has used
// up its budget of full copies. The seed names other peers, and one of those must supply the copy.
func TestNewProxyQueriesPeersNamedBySeed(t *testing.T) {
	f := newFleet(t, 1)
	seed := servePeer(t, func(peerdrpc.SyncMessage) peerdrpc.SyncMessage {
		return peerdrpc.SyncMessage{
			From: "seed", Delta: replica.Delta{Base: 99, Revision: 99},
			OtherPeers: []netip.AddrPort{f.daemons[0].settings.Listen.Peers},
		}
	})
	f.storeOutage = true
	f.start(1, []netip.AddrPort{seed})
	f.eventually("the new proxy serves", func() bool { return f.get(1, "/a/x") == http.StatusOK })
}

// A proxy that can't send a full copy names other peers to a proxy that starts, but not to one that
// only lags.
func TestPeersAreNamedToNewProxies(t *testing.T) {
	f := newFleet(t, 2)
	f.eventually("the proxies know each other", func() bool { return f.lookupCount(0) == 2 })
	g := &gossip{replica: f.newIdleDaemon().replica}
	g.replica.members["proxy-b"] = proxyEntry{Name: "proxy-b", Region: "north", Peers: f.daemons[1].settings.Listen.Peers}
	response := g.handle(context.Background(), peerdrpc.SyncMessage{From: "newcomer"})
	if got, want := fmt.Sprint(response.OtherPeers), fmt.Sprint([]netip.AddrPort{f.daemons[1].settings.Listen.Peers}); got != want {
		t.Errorf("peers named to a new proxy are %s, want %s", got, want)
	}
	response = g.handle(context.Background(), peerdrpc.SyncMessage{From: "lags", Delta: replica.Delta{Base: 3, Revision: 3}})
	if len(response.OtherPeers) != 0 {
		t.Errorf("peers named to a lagging proxy are %v, want none", response.OtherPeers)
	}
}

// Guards against a thousand proxies that start at once and get their copies across the borders of
// failure domains and regions.
func TestNamedPeersAreMostlyNear(t *testing.T) {
	f := newFleet(t, 1)
	g := &gossip{replica: f.newIdleDaemon().replica}
	const perDomain = 20
	near := make(map[netip.AddrPort]bool)
	for i := range 3 * perDomain {
		name, domain := fmt.Sprintf("peer-%d", i), string(rune('a'+i%3))
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
		g.replica.members[name] = proxyEntry{Name: name, Domain: domain, Region: "north", Peers: address}
		near[address] = domain == "b"
	}
	for domain, want := range map[string]int{"b": maxNamedNear, "unknown": 0} {
		got := 0
		named := g.handle(context.Background(), peerdrpc.SyncMessage{From: "newcomer", Domain: domain}).OtherPeers
		for _, address := range named {
			if near[address] {
				got++
			}
		}
		if len(named) != maxNamedPeers || domain == "b" && got != want {
			t.Errorf("a proxy in %q: %d peers named, %d of them near; want %d and %d", domain, len(named), got, maxNamedPeers, want)
		}
	}
}

// A large store is read in many pages over a narrow link. If a peer's copy arrives first, the read
// must be canceled, or it would fill the link for another second.
func TestStoreReadIsCanceledWhenPeerCopyArrives(t *testing.T) {
	f := newFleet(t, 1)
	d := f.newIdleDaemon()
	started := make(chan struct{})
	w := &storeWatcher{replica: d.replica, onAdvance: func(replica.Position) {}, onUnchanged: func() {}, store: Store{
		Range: func(ctx context.Context, _ string, _ bool) ([]KeyValue, StorePosition, error) {
			close(started)
			<-ctx.Done()
			return nil, StorePosition{}, ctx.Err()
		},
	}}
	ended := make(chan error, 1)
	go func() { ended <- w.step(context.Background()) }()
	<-started
	d.replica.apply("peer", replica.Delta{Revision: 7, Full: true})
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("got %v, want no error, as the store did not fail", err)
		}
	case <-time.After(waitTimeout):
		t.Error("the read was not canceled")
	}
}

// A region has more proxies than its relays send a change to. Each proxy that receives the change
// must forward it to a few others, once, or the rest would receive it a second later.
func TestChangesAreForwardedInLargeRegion(t *testing.T) {
	f := newFleet(t, 1)
	for _, c := range []struct {
		peers int
		want  int32
	}{{spreadFanout, 0}, {spreadFanout + 8, forwardFanout}} {
		d := f.newIdleDaemon()
		var sent atomic.Int32
		g := &gossip{replica: d.replica, send: func(context.Context, netip.AddrPort, peerdrpc.SyncMessage) (peerdrpc.SyncMessage, error) {
			sent.Add(1)
			return peerdrpc.SyncMessage{}, nil
		}}
		for i := range c.peers {
			name := fmt.Sprintf("peer-%d", i)
			d.replica.members[name] = proxyEntry{Name: name, Region: "north", Peers: freePort(t), LinkMbps: 200}
		}
		d.replica.members["proxy-a"] = proxyEntry{Name: "proxy-a", Region: "north"}
		d.replica.apply("peer", replica.Delta{Revision: 7, Full: true})
		change := peerdrpc.SyncMessage{From: "peer-0", Delta: replica.Delta{Base: 7, Revision: 8, Entries: []replica.Entry{{Key: "x", Revision: 8}}}}
		g.handle(context.Background(), change)
		g.handle(context.Background(), change)
		f.eventually(fmt.Sprintf("%d of %d peers receive the change", c.want, c.peers), func() bool { return sent.Load() == c.want })
		time.Sleep(50 * time.Millisecond)
		if got := sent.Load(); got != c.want {
			t.Errorf("%d peers: the change was sent %d times, want %d", c.peers, got, c.want)
		}
	}
}

// Nothing changes for a while in a region of a hundred proxies. By exchanges alone, the relay's
// confirmation took three seconds to reach all; the others considered their copies stale meanwhile
// and queried the store, forty calls a second.
func TestRelayConfirmsCopyInLargeRegion(t *testing.T) {
	f := newFleet(t, 1)
	for _, c := range []struct {
		peers int
		want  int32
	}{{spreadFanout, 0}, {spreadFanout + 8, confirmFanout}} {
		d := f.newIdleDaemon()
		var sent atomic.Int32
		g := &gossip{replica: d.replica, send: func(_ context.Context, _ netip.AddrPort, m peerdrpc.SyncMessage) (peerdrpc.SyncMessage, error) {
			if m.Revision != 7 || len(m.Entries) > 0 || !replica.Fresh(m.Age) {
				t.Errorf("got %+v, want revision 7, fresh, without entries", m.Delta)
			}
			sent.Add(1)
			return peerdrpc.SyncMessage{}, nil
		}}
		for i := range c.peers {
			name := fmt.Sprintf("peer-%d", i)
			d.replica.members[name] = proxyEntry{Name: name, Region: "north", Peers: freePort(t)}
		}
		d.replica.members["proxy-a"] = proxyEntry{Name: "proxy-a", Region: "north", LinkMbps: 200}
		d.replica.apply("peer", replica.Delta{Revision: 7, Full: true})
		w := &storeWatcher{replica: d.replica, onUnchanged: func() { g.confirm(context.Background()) }, store: Store{
			Watch: func(context.Context, string, uint64, time.Duration) ([]KeyValue, uint64, error) { return nil, 0, nil },
		}}
		if err := w.step(context.Background()); err != nil {
			t.Fatal(err)
		}
		f.eventually(fmt.Sprintf("%d of %d peers receive the confirmation", c.want, c.peers), func() bool { return sent.Load() == c.want })
	}
}

// Hundreds of proxies start, and each receives the others' entries in a message for each. Updating
// the kernel for every message was most of the cost of a start. The first entry must take effect at
// once, the last with the next tick.
func TestSimultaneousStartsAreBatched(t *testing.T) {
	f := newFleet(t, 1)
	d := f.newIdleDaemon()
	lookupCount := func() (n int) {
		d.withKernel(func(k *steering.Kernel, _ time.Time) { n = len(k.Lookup("host", "north", "a")) })
		return n
	}
	const others = 40
	for i := range others {
		name := fmt.Sprintf("peer-%d", i)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		entry, err := json.Marshal(proxyEntry{Name: name, Domain: "a", Region: "north", Callers: address, Peers: address})
		if err != nil {
			t.Fatal(err)
		}
		revision := replica.Position(i + 1)
		d.replica.apply("peer", replica.Delta{Base: revision - 1, Revision: revision, Full: i == 0, Entries: []replica.Entry{{Key: proxyKeyPrefix + name, Value: entry, Revision: revision}}})
		if i == 0 && lookupCount() != 2 {
			t.Errorf("lookup returns %d proxies after the first message, want it and this one", lookupCount())
		}
	}
	if got := lookupCount(); got > others/2 {
		t.Errorf("lookup returns %d proxies before the next tick, want most of them deferred", got)
	}
	d.replica.flushProxies()
	if got, want := lookupCount(), others+1; got != want {
		t.Errorf("lookup returns %d proxies after the next tick, want %d", got, want)
	}
}

// hasServer reports whether a daemon's kernel has the server of newDaemonWithServer.
func hasServer(d *Daemon) (held bool) {
	d.withKernel(func(k *steering.Kernel, _ time.Time) { held = slices.Contains(k.ServerIDs(), "s1") })
	return held
}

// newDaemonWithServer creates an idle daemon that knows a server.
func (f *fleet) newDaemonWithServer() *Daemon {
	f.t.Helper()
	d := f.newIdleDaemon()
	value, err := json.Marshal(testServer{Service: "service", Domain: "a", Address: addressOf(f.backend.URL)})
	if err != nil {
		f.t.Fatal(err)
	}
	d.replica.apply("peer", replica.Delta{Revision: 1, Full: true, Entries: []replica.Entry{{Key: "servers/s1", Value: value, Revision: 1}}})
	if !hasServer(d) {
		f.t.Fatal("the server is missing after its registration")
	}
	return d
}

// A VM lost its connection to the store, but not to its peers, while the store was available. A
// server leaves. If the proxy treated its peers' removals as tentative because its own calls had
// failed, it would send requests to that server for seconds.
func TestDisconnectedProxyAcceptsRemovalsFromPeers(t *testing.T) {
	f := newFleet(t, 1)
	removal := replica.Delta{Base: 1, Revision: 2}
	for _, tentative := range []bool{false, true} {
		d := f.newDaemonWithServer()
		d.replica.storeFailed(errDisconnected, d.now().Add(-time.Minute))
		d.replica.storeFailed(context.DeadlineExceeded, d.now())
		d.gossip.merge(peerdrpc.SyncMessage{From: "peer", Delta: replica.Delta{
			Base: removal.Base, Revision: removal.Revision,
			Entries: []replica.Entry{{Key: "servers/s1", Revision: 2, Removed: true, Tentative: tentative}},
		}})
		if got := hasServer(d); got != tentative {
			t.Errorf("removal tentative at the peer %t: the server is still used %t", tentative, got)
		}
	}
}

// A watch is interrupted and succeeds at once when retried. A server's entry is removed just then:
// the server has left, and its entry did not expire in an outage.
func TestRemovalAfterInterruptedWatchIsAccepted(t *testing.T) {
	f := newFleet(t, 1)
	d := f.newDaemonWithServer()
	d.replica.storeFailed(errDisconnected, d.now())
	items := []KeyValue{{Key: "servers/s1", Revision: 2, Removed: true}}
	w := &storeWatcher{replica: d.replica, onAdvance: func(replica.Position) {}, onUnchanged: func() {}, store: Store{
		Watch: func(context.Context, string, uint64, time.Duration) ([]KeyValue, uint64, error) { return items, 0, nil },
	}}
	if err := w.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	if hasServer(d) {
		t.Error("the server is still used")
	}
}

// Two relays of a region receive a change from another region before their own watches return. If
// neither forwarded it, the other proxies of the region would not receive it.
func TestRelayForwardsChangesFromOtherRegion(t *testing.T) {
	f := newFleet(t, 1)
	d := f.newIdleDaemon()
	var sent atomic.Int32
	g := &gossip{replica: d.replica, send: func(context.Context, netip.AddrPort, peerdrpc.SyncMessage) (peerdrpc.SyncMessage, error) {
		sent.Add(1)
		return peerdrpc.SyncMessage{}, nil
	}}
	d.replica.members["proxy-a"] = proxyEntry{Name: "proxy-a", Region: "north", LinkMbps: 100}
	for i := range 4 {
		name := fmt.Sprintf("peer-%d", i)
		d.replica.members[name] = proxyEntry{Name: name, Region: "north", Peers: freePort(t)}
	}
	d.replica.apply("peer", replica.Delta{Revision: 7, Full: true})
	g.handle(context.Background(), peerdrpc.SyncMessage{From: "far", Delta: replica.Delta{Base: 7, Revision: 8, Entries: []replica.Entry{{Key: "x", Revision: 8}}}})
	f.eventually("the region receives the change", func() bool { return sent.Load() == 4 })
}

// A relay received a change in an exchange shortly before its watch returns it. It must still
// spread the change to its region.
func TestRelaySpreadsWatchedChangesItAlreadyHas(t *testing.T) {
	f := newFleet(t, 1)
	d := f.newDaemonWithServer()
	items := []KeyValue{{Key: "servers/s1", Revision: 2, Removed: true}}
	spread := 0
	w := &storeWatcher{replica: d.replica, onUnchanged: func() {}, onAdvance: func(before replica.Position) {
		spread++
		if before != 1 {
			t.Errorf("spreads changes after revision %d, want 1", before)
		}
	}, store: Store{Watch: func(context.Context, string, uint64, time.Duration) ([]KeyValue, uint64, error) {
		d.replica.apply("peer", replica.Delta{Base: 1, Revision: 2, Entries: replicaEntries(items, 0)})
		return items, 0, nil
	}}}
	if err := w.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	if spread != 1 {
		t.Errorf("the change was spread %d times, want once", spread)
	}
}

// No proxy of a region, relays included, can reach the store but one. If that one stopped watching
// after each response until its copy was stale again, a server that drains just after a response
// would get requests for two seconds more.
func TestProxyWithoutFreshPeersKeepsFollowingStore(t *testing.T) {
	f := newFleet(t, 1)
	d := f.newDaemonWithServer()
	for _, name := range []string{"wide-a", "wide-b"} {
		d.replica.members[name] = proxyEntry{Name: name, Region: "north", LinkMbps: 1000}
	}
	d.replica.members["far"] = proxyEntry{Name: "far", Region: "south"}
	d.replica.members[d.settings.Name] = proxyEntry{Name: d.settings.Name, Region: "north"}
	var asked atomic.Int32
	w := &storeWatcher{replica: d.replica, onAdvance: func(replica.Position) {}, onUnchanged: func() {}, store: Store{
		Watch: func(ctx context.Context, _ string, _ uint64, _ time.Duration) ([]KeyValue, uint64, error) {
			asked.Add(1)
			sleep.For(ctx, 20*time.Millisecond)
			return nil, 0, ctx.Err()
		},
	}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { w.run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	f.eventually("the proxy queries the store", func() bool { return asked.Load() > 0 })
	f.eventually("the proxy continues to query the store", func() bool {
		d.gossip.merge(peerdrpc.SyncMessage{From: "far", Delta: replica.Delta{Base: 1, Revision: 1}})
		d.gossip.merge(peerdrpc.SyncMessage{From: "wide-a", Delta: replica.Delta{Base: 1, Revision: 1, Age: time.Minute}})
		return asked.Load() > 20
	})
	d.gossip.merge(peerdrpc.SyncMessage{From: "wide-a", Delta: replica.Delta{Base: 1, Revision: 1}})
	time.Sleep(100 * time.Millisecond)
	before := asked.Load()
	time.Sleep(300 * time.Millisecond)
	if got := asked.Load() - before; got > 0 {
		t.Errorf("%d further store calls although a peer of the region has a fresh copy, want none", got)
	}
}

// A proxy that can't reach the store receives a removal from a peer that read it, and forwards it.
// Its own outage must not make the removal tentative: the next proxy would send requests to a
// server that has left.
func TestDisconnectedProxyForwardsRemovalsUnchanged(t *testing.T) {
	f := newFleet(t, 1)
	for _, tentative := range []bool{false, true} {
		disconnected, next := f.newDaemonWithServer(), f.newDaemonWithServer()
		disconnected.replica.storeFailed(context.DeadlineExceeded, disconnected.now().Add(-time.Minute))
		reader := f.newDaemonWithServer()
		if tentative {
			reader.replica.storeFailed(context.DeadlineExceeded, reader.now().Add(-time.Minute))
		}
		reader.replica.applyStoreRead(reader.now(), replica.Delta{Base: 1, Revision: 2, Entries: []replica.Entry{{Key: "servers/s1", Revision: 2, Removed: true}}})
		disconnected.gossip.merge(peerdrpc.SyncMessage{From: "reader", Delta: reader.replica.deltaSince(1)})
		time.Sleep(time.Millisecond)
		next.gossip.merge(peerdrpc.SyncMessage{From: "cut", Delta: disconnected.replica.deltaSince(1)})
		if got := hasServer(next); got != tentative {
			t.Errorf("removal tentative at its reader %t: the server is still used %t", tentative, got)
		}
	}
}

// Guards against each relay sending a large configuration again to every proxy.
func TestLargeChangesAreSentOnlyToPeersThatLackThem(t *testing.T) {
	f := newFleet(t, 1)
	d := f.newIdleDaemon()
	d.replica.apply("peer", replica.Delta{Revision: 7, Full: true})
	d.replica.apply("peer", replica.Delta{Base: 7, Revision: 8, Entries: []replica.Entry{{Key: "x", Revision: 8, Value: make([]byte, 2*offerMinBytes)}}})
	for name, c := range map[string]struct {
		has  replica.Position
		want int
	}{"a proxy that has them": {8, 0}, "a proxy that lacks them": {7, 1}} {
		sentEntries := 0
		g := &gossip{replica: d.replica, send: func(_ context.Context, _ netip.AddrPort, m peerdrpc.SyncMessage) (peerdrpc.SyncMessage, error) {
			sentEntries += len(m.Entries)
			return peerdrpc.SyncMessage{Delta: replica.Delta{Base: c.has, Revision: c.has}}, nil
		}}
		g.offerDelta(context.Background(), netip.AddrPort{}, 7)
		if sentEntries != c.want {
			t.Errorf("%s is sent %d entries, want %d", name, sentEntries, c.want)
		}
	}
}

// Guards against requests to a server that has left because a peer that had lost the store doubts it.
func TestProxyWithStoreDoesNotDoubtRemovals(t *testing.T) {
	f := newFleet(t, 1)
	connected := f.newDaemonWithServer()
	w := &storeWatcher{replica: connected.replica, onAdvance: func(replica.Position) {}, onUnchanged: func() {}, store: Store{
		Watch: func(context.Context, string, uint64, time.Duration) ([]KeyValue, uint64, error) { return nil, 0, nil },
	}}
	for start := time.Now(); time.Since(start) < 4*time.Second; time.Sleep(100 * time.Millisecond) {
		if err := w.step(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	cut := f.newDaemonWithServer()
	cut.replica.storeFailed(context.DeadlineExceeded, cut.now().Add(-3*time.Second))
	cut.replica.applyStoreRead(cut.now(), replica.Delta{Base: 1, Revision: 2, Entries: []replica.Entry{{Key: "servers/s1", Revision: 2, Removed: true}}})
	if !hasServer(cut) {
		t.Fatal("a proxy that had lost the store doubts no removal")
	}
	connected.gossip.merge(cut.gossip.message(cut.replica.deltaSince(1), false))
	if hasServer(connected) {
		t.Error("a proxy that had the store all the time still uses the server")
	}
	cut.gossip.merge(connected.gossip.message(connected.replica.deltaSince(cut.replica.revision()), false))
	if hasServer(cut) {
		t.Error("the other one still uses the server although a peer had the store all the time")
	}
}
