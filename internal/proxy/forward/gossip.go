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
	// gossipInterval is the mean time between exchanges with a random peer.
	gossipInterval = 500 * time.Millisecond
	// bootstrapInterval is the same for a proxy without a copy: a round trip between regions and
	// some time to transfer the copy.
	bootstrapInterval = 150 * time.Millisecond
	// spreadFanout bounds the peers that a change is sent to at once. In a region of a hundred
	// proxies, sending to more would saturate the link of a small VM.
	spreadFanout = 32
	// forwardFanout is how many peers a proxy forwards a change to in a region larger than
	// spreadFanout: four from each of 32 just reach a hundred, and the periodic exchanges cover
	// the rest.
	forwardFanout = 4
	// alertRemoteFanout is the number of other regions in which a peer is alerted.
	alertRemoteFanout = 3
	// confirmFanout is how many peers the first relay of a large region tells that nothing has
	// changed. By exchanges alone this took three seconds in a region of a hundred, so that dozens
	// of proxies considered their copies stale and queried the store themselves.
	confirmFanout = 12
	// maxNamedPeers is how many other peers a proxy names if it can't send a full copy itself, and
	// maxNamedNear how many of them are in the failure domain of the proxy that asks: of a thousand
	// proxies that start at once, most should get their copies from near ones, but some of each
	// domain from elsewhere.
	maxNamedPeers = 4
	maxNamedNear  = 3
	// offerMinBytes is the size from which a peer is first asked whether it already has a change:
	// otherwise two relays and the exchanges would each send it a whole configuration.
	offerMinBytes = 2 << 10
	// offerStagger is how long each relay waits with large changes per relay ranked before it, so
	// that those can deliver them first.
	offerStagger = 100 * time.Millisecond
	// exchangesPerRemote is the number of exchanges of which one goes to another region.
	exchangesPerRemote = 4
)

const (
	// The kinds of messages that a proxy sends to peers, for metrics.
	messageExchange peerMessageKind = "exchange"
	messageChanges  peerMessageKind = "changes"
	messageOffer    peerMessageKind = "offer"
)

type (
	// peerMessageKind is a kind of messages to peers.
	peerMessageKind string

	// gossip exchanges the copy's changes with other proxies.
	gossip struct {
		replica *storeReplica
		send    func(ctx context.Context, to netip.AddrPort, m peerdrpc.SyncMessage) (peerdrpc.SyncMessage, error)

		mu sync.Mutex
		// namedPeers are the peers named by the last response, to be queried next.
		namedPeers []netip.AddrPort
	}
)

func (g *gossip) run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := gossipInterval
		if g.replica.revision() == 0 {
			interval = bootstrapInterval
		}
		sleep.For(ctx, interval/2+rand.N(interval))
		if to, ok := g.pickPeer(); ok {
			g.exchange(ctx, to)
		}
	}
}

// exchange sends a peer this copy's revision, merges the changes that the peer returns, and sends
// it those that it lacks.
func (g *gossip) exchange(ctx context.Context, to netip.AddrPort) {
	metrics := g.replica.daemon.metrics
	metrics.recordPeerMessage(messageExchange)
	metrics.replicaAge.Update(g.replica.age().Seconds())
	reply, err := g.request(ctx, to, g.message(g.replica.deltaSince(g.replica.revision()), false))
	if err != nil {
		klog.V(1).InfoS("exchange with peer failed", "peer", to, "error", err.Error())
		return
	}
	g.merge(reply)
	if reply.Revision < g.replica.revision() {
		g.sendDelta(ctx, to, reply.Revision)
	}
}

func (g *gossip) sendDelta(ctx context.Context, to netip.AddrPort, since replica.Position) {
	g.replica.daemon.metrics.recordPeerMessage(messageChanges)
	reply, err := g.request(ctx, to, g.message(g.replica.deltaSince(since), false))
	if err != nil {
		klog.V(1).InfoS("changes not delivered to peer", "peer", to, "error", err.Error())
		return
	}
	g.merge(reply)
}

// request sends a message to a peer and returns its response.
func (g *gossip) request(ctx context.Context, to netip.AddrPort, m peerdrpc.SyncMessage) (peerdrpc.SyncMessage, error) {
	reply, err := g.send(ctx, to, m)
	reply.Delta = g.replica.withEra(reply.Delta)
	return reply, err
}

// handle merges a peer's message, forwards its changes, and returns what the peer lacks.
func (g *gossip) handle(ctx context.Context, m peerdrpc.SyncMessage) peerdrpc.SyncMessage {
	before := g.replica.revision()
	m.Delta = g.replica.withEra(m.Delta)
	if g.merge(m) && before > 0 && len(m.Entries) > 0 {
		g.forward(ctx, before)
	}
	response := g.message(g.replica.deltaSince(m.Revision), m.Revision == 0)
	if g.replica.needsFullCopy(m.Revision) && !response.Full {
		response.OtherPeers = g.replica.namePeers(m.Domain)
	}
	return response
}

// merge applies a peer's message and reports whether the copy advanced.
func (g *gossip) merge(m peerdrpc.SyncMessage) bool {
	g.replica.handlePeerState(m)
	if len(m.LearnedLimits)+len(m.QuarantineReports)+len(m.BackpressureReports) > 0 {
		g.replica.daemon.withKernel(func(k *steering.Kernel, now time.Time) {
			k.ApplyConcurrencyLimits(now, m.LearnedLimits)
			k.ApplyQuarantineReports(now, m.QuarantineReports)
			k.ApplyBackpressureReports(now, m.BackpressureReports)
		})
	}
	g.mu.Lock()
	g.namedPeers = m.OtherPeers
	g.mu.Unlock()
	if m.Full {
		g.replica.daemon.metrics.fullCopiesReceived.Inc()
	}
	return g.replica.apply(m.From, m.Delta)
}

// message returns a message with a delta of the copy and this proxy's other state. A peer that
// has just started gets all quarantine and backpressure reports.
func (g *gossip) message(d replica.Delta, newPeer bool) peerdrpc.SyncMessage {
	domain := ""
	if d.Revision == 0 {
		domain = g.replica.daemon.settings.Domain
	}
	return peerdrpc.SyncMessage{
		Domain:            domain,
		QuarantineReports: g.replica.daemon.quarantineReports(newPeer), BackpressureReports: g.replica.daemon.backpressureReports(newPeer),
		From: g.replica.daemon.settings.Name, StartMillis: g.replica.daemon.startMillis(), Leaving: g.replica.daemon.isStopping(),
		LearnedLimits: g.replica.daemon.learnedLimits(), Delta: d,
	}
}

// pickPeer picks a random neighbor, mostly of this region. If no peers are known, it picks one that a
// seed named, or a seed.
func (g *gossip) pickPeer() (netip.AddrPort, bool) {
	local, remote, _ := g.replica.neighborPeers()
	list := local
	if len(remote) > 0 && (len(local) == 0 || rand.N(exchangesPerRemote) == 0) {
		list = slices.Concat(slices.Collect(maps.Values(remote))...)
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

// takeNamedPeers returns the peers named by the last response and clears them. It leaves out this
// proxy, whose entry from before a restart may still exist.
func (g *gossip) takeNamedPeers() []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	self := g.replica.daemon.settings.Listen.Peers
	list := slices.DeleteFunc(g.namedPeers, func(a netip.AddrPort) bool { return a == self })
	g.namedPeers = nil
	return list
}

// spread sends changes to the peers of this region, up to spreadFanout, and to one proxy in each
// other region, in case that region's relays can't reach the store.
func (g *gossip) spread(ctx context.Context, since replica.Position) {
	local, remote, _ := g.replica.neighborPeers()
	list := sample(local, spreadFanout)
	for _, region := range remote {
		list = append(list, region[rand.N(len(region))])
	}
	for _, to := range list {
		go g.offerDelta(ctx, to, since)
	}
}

// offerDelta sends changes to a peer; large ones only if the peer lacks them.
func (g *gossip) offerDelta(ctx context.Context, to netip.AddrPort, since replica.Position) {
	if !g.replica.needsFullCopy(since) && g.replica.deltaSince(since).Size() < offerMinBytes {
		g.sendDelta(ctx, to, since)
		return
	}
	sleep.For(ctx, time.Duration(min(g.replica.rank(), replica.RelaysPerRegion))*offerStagger)
	g.replica.daemon.metrics.recordPeerMessage(messageOffer)
	reply, err := g.request(ctx, to, g.message(g.replica.deltaSince(g.replica.revision()), false))
	if err != nil {
		klog.V(1).InfoS("changes not delivered to peer", "peer", to, "error", err.Error())
		return
	}
	g.merge(reply)
	if reply.Revision < g.replica.revision() {
		g.sendDelta(ctx, to, reply.Revision)
	}
}

// confirm tells some peers of a large region that the copy still matches the store.
func (g *gossip) confirm(ctx context.Context) {
	local, _, localCount := g.replica.neighborPeers()
	if localCount <= spreadFanout {
		return
	}
	for _, to := range sample(local, confirmFanout) {
		go g.sendDelta(ctx, to, g.replica.revision())
	}
}

// sendAlerts sends what must not wait for the next exchange to a few peers of this region and to one
// peer in each of a few other regions: reports of requests that crash servers, and when the store was
// available. Each proxy for which this is news alerts others in turn: with four and three alerts from
// each, 1,300 proxies are reached within four rounds. It returns the number of peers alerted.
func (g *gossip) sendAlerts(ctx context.Context) int {
	local, remote, _ := g.replica.neighborPeers()
	list := sample(local, forwardFanout)
	var remotePeers []netip.AddrPort
	for _, region := range remote {
		remotePeers = append(remotePeers, region[rand.N(len(region))])
	}
	list = append(list, sample(remotePeers, alertRemoteFanout)...)
	for _, to := range list {
		go g.sendDelta(ctx, to, g.replica.revision())
	}
	return len(list)
}

// forward sends changes received from a peer to others. A relay that receives a change from
// another region before its own watch returns sends it to its region, since possibly no other
// proxy would. In a region too large for its relays to reach all proxies, each proxy forwards to a
// few.
func (g *gossip) forward(ctx context.Context, since replica.Position) {
	local, _, localCount := g.replica.neighborPeers()
	fanout := 0
	switch {
	case g.replica.rank() < replica.RelaysPerRegion:
		fanout = spreadFanout
	case localCount > spreadFanout:
		fanout = forwardFanout
	}
	for _, to := range sample(local, fanout) {
		go g.offerDelta(ctx, to, since)
	}
}
