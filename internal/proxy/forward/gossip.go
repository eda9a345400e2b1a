package forward

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/adapter/peerdrpc"
	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
	"github.com/gypsumquay/gypsumquay/internal/proxy/sleep"
)

const (
	// gossipInterval is how often a proxy compares copies with another one.
	gossipInterval = 500 * time.Millisecond
	// bootstrapInterval is that of a proxy which knows nothing yet: a round trip
	// between regions and some time for a copy.
	bootstrapInterval = 150 * time.Millisecond
	// spreadFanout bounds the peers that news are sent to at once. More would
	// fill the link of a small VM where a region has a hundred.
	spreadFanout = 32
	// forwardFanout is how many peers a proxy passes news on to in a region that is
	// larger than that: four from each of 32 reach a hundred with little to
	// spare, and the exchanges make up for the rest.
	forwardFanout = 4
	// alertRemoteFanout is how many other regions are alerted at once.
	alertRemoteFanout = 3
	// confirmFanout is how many peers the first relay of a large region tells that nothing
	// has changed. By exchanges alone that took three seconds in a region of a hundred,
	// so that dozens took their copies for old and asked the store themselves.
	confirmFanout = 12
	// maxNamedPeers is how many peers a proxy names that may not give everything.
	maxNamedPeers = 4
	// offerMinBytes is the size of news, in bytes, from which a peer is asked first whether it
	// has them: two relays and the exchanges would each bring it all of a configuration.
	offerMinBytes = 2 << 10
	// offerStagger is how long each relay leaves large news to the one before it.
	offerStagger = 100 * time.Millisecond
	// remoteExchangeRatio is how many exchanges go to another region: one in so many.
	remoteExchangeRatio = 4
)

type (
	// gossip compares the copy with other proxies' and spreads news.
	gossip struct {
		replica *storeReplica
		send    func(ctx context.Context, to netip.AddrPort, m peerdrpc.SyncMessage) (peerdrpc.SyncMessage, error)

		mu sync.Mutex
		// namedPeers are peers that the last answer named, to be asked next.
		namedPeers []netip.AddrPort
	}
)

func (g *gossip) run(ctx context.Context) {
	for ctx.Err() == nil {
		every := gossipInterval
		if g.replica.revision() == 0 {
			every = bootstrapInterval
		}
		sleep.For(ctx, every/2+rand.N(every))
		if to, ok := g.pickPeer(); ok {
			g.exchange(ctx, to)
		}
	}
}

// exchange tells a peer the own revision, takes in what it has, and sends it
// what it lacks.
func (g *gossip) exchange(ctx context.Context, to netip.AddrPort) {
	reply, err := g.send(ctx, to, g.message(g.replica.deltaSince(g.replica.revision()), false))
	if err != nil {
		klog.V(1).InfoS("peer did not answer", "peer", to, "error", err.Error())
		return
	}
	g.merge(reply)
	if reply.Revision < g.replica.revision() {
		g.sendDelta(ctx, to, reply.Revision)
	}
}

func (g *gossip) sendDelta(ctx context.Context, to netip.AddrPort, since uint64) {
	reply, err := g.send(ctx, to, g.message(g.replica.deltaSince(since), false))
	if err != nil {
		klog.V(1).InfoS("news not delivered", "peer", to, "error", err.Error())
		return
	}
	g.merge(reply)
}

// handle answers a peer and passes its news on.
func (g *gossip) handle(ctx context.Context, m peerdrpc.SyncMessage) peerdrpc.SyncMessage {
	before := g.replica.revision()
	if g.merge(m) && before > 0 && len(m.Entries) > 0 {
		g.forward(ctx, before)
	}
	answer := g.message(g.replica.deltaSince(m.Revision), m.Revision == 0)
	if m.Revision == 0 && !answer.Whole {
		answer.Others = g.namePeers()
	}
	return answer
}

// merge takes a peer's message in and reports whether the copy advanced.
func (g *gossip) merge(m peerdrpc.SyncMessage) bool {
	g.replica.handlePeerState(m)
	if len(m.Held)+len(m.Suspicions)+len(m.Signals) > 0 {
		g.replica.daemon.withKernel(func(k *steering.Kernel, now time.Time) {
			k.SetHolding(now, m.Held)
			k.HearSuspicions(now, m.Suspicions)
			k.HearSignals(now, m.Signals)
		})
	}
	g.mu.Lock()
	g.namedPeers = m.Others
	g.mu.Unlock()
	return g.replica.apply(m.Delta)
}

// namePeers names a few peers for one that starts: hundreds may start at once and
// know the same three seeds, which could not give all of them everything.
func (g *gossip) namePeers() []netip.AddrPort {
	near, far := g.peers()
	list := slices.Concat(near, slices.Concat(slices.Collect(maps.Values(far))...))
	return sample(list, maxNamedPeers)
}

// message tells a peer what it lacks of the copy and what else it should hear; a peer
// that has just started hears of all suspicions.
func (g *gossip) message(d replica.Delta, starts bool) peerdrpc.SyncMessage {
	return peerdrpc.SyncMessage{
		Suspicions: g.replica.daemon.quarantineReports(starts), Signals: g.replica.daemon.backpressureReports(starts),
		From: g.replica.daemon.settings.Name, Started: g.replica.daemon.startMillis(), Leaving: g.replica.daemon.isStopping(),
		Held: g.replica.daemon.learnedLimits(), Delta: d,
	}
}

// pickPeer draws a peer, mostly of the own region; without any known, one that a
// seed named, or a seed.
func (g *gossip) pickPeer() (netip.AddrPort, bool) {
	near, far := g.peers()
	list := near
	if len(far) > 0 && (len(near) == 0 || rand.N(remoteExchangeRatio) == 0) {
		list = slices.Concat(slices.Collect(maps.Values(far))...)
	}
	if len(list) == 0 {
		list = g.takeNamedPeers()
	}
	if len(list) == 0 {
		self := g.replica.daemon.settings.Listen.Peers
		list = slices.DeleteFunc(slices.Clone(g.replica.daemon.settings.Seeds), func(a netip.AddrPort) bool { return a == self })
	}
	if len(list) == 0 {
		return netip.AddrPort{}, false
	}
	return list[rand.N(len(list))], true
}

// takeNamedPeers lists the peers that the last answer named, once, without this
// proxy: its entry of before a restart may still be there.
func (g *gossip) takeNamedPeers() []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	self := g.replica.daemon.settings.Listen.Peers
	list := slices.DeleteFunc(g.namedPeers, func(a netip.AddrPort) bool { return a == self })
	g.namedPeers = nil
	return list
}

// peers lists the other proxies of the own region and those of each other
// region.
func (g *gossip) peers() (near []netip.AddrPort, far map[string][]netip.AddrPort) {
	f := g.replica
	f.mu.Lock()
	defer f.mu.Unlock()
	far = make(map[string][]netip.AddrPort)
	for name, m := range f.members {
		switch {
		case name == f.daemon.settings.Name:
		case m.Region == f.daemon.settings.Region:
			near = append(near, m.Peers)
		default:
			far[m.Region] = append(far[m.Region], m.Peers)
		}
	}
	return near, far
}

// spread sends news to the whole region and to one proxy in each other one,
// in case that region's relays are cut off.
func (g *gossip) spread(ctx context.Context, since uint64) {
	near, far := g.peers()
	list := sample(near, spreadFanout)
	for _, region := range far {
		list = append(list, region[rand.N(len(region))])
	}
	for _, to := range list {
		go g.offerDelta(ctx, to, since)
	}
}

// offerDelta sends news to a peer, large ones only if it lacks them.
func (g *gossip) offerDelta(ctx context.Context, to netip.AddrPort, since uint64) {
	if g.replica.deltaSince(since).Size() < offerMinBytes {
		g.sendDelta(ctx, to, since)
		return
	}
	sleep.For(ctx, time.Duration(min(g.replica.rank(), replica.Relays))*offerStagger)
	reply, err := g.send(ctx, to, g.message(g.replica.deltaSince(g.replica.revision()), false))
	if err != nil {
		klog.V(1).InfoS("news not delivered", "peer", to, "error", err.Error())
		return
	}
	g.merge(reply)
	if reply.Revision < g.replica.revision() {
		g.sendDelta(ctx, to, reply.Revision)
	}
}

// confirm tells some peers of a large region that the copy is the store's state.
func (g *gossip) confirm(ctx context.Context) {
	near, _ := g.peers()
	if len(near) <= spreadFanout {
		return
	}
	for _, to := range sample(near, confirmFanout) {
		go g.sendDelta(ctx, to, g.replica.revision())
	}
}

// sendAlerts tells a few peers of the region, and one of a few other regions, of work that ends
// servers. Whoever hears news alerts others in turn: four and three from each reach 1,300
// within four rounds. It tells how many were alerted.
func (g *gossip) sendAlerts(ctx context.Context) int {
	near, far := g.peers()
	list := sample(near, forwardFanout)
	var others []netip.AddrPort
	for _, region := range far {
		others = append(others, region[rand.N(len(region))])
	}
	list = append(list, sample(others, alertRemoteFanout)...)
	for _, to := range list {
		go g.sendDelta(ctx, to, g.replica.revision())
	}
	return len(list)
}

// forward sends a peer's news on. A relay that hears of a change from another region
// before its own watch answers tells its region, which nobody else might; and
// where a region is too large for its relays to reach all, each tells a few.
func (g *gossip) forward(ctx context.Context, since uint64) {
	near, _ := g.peers()
	most := 0
	switch {
	case g.replica.rank() < replica.Relays:
		most = spreadFanout
	case len(near) > spreadFanout:
		most = forwardFanout
	}
	for _, to := range sample(near, most) {
		go g.offerDelta(ctx, to, since)
	}
}

// sample draws up to most of a list, which it reorders.
func sample(list []netip.AddrPort, most int) []netip.AddrPort {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), most)]
}
