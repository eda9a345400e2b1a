package forward

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/adapter/peerdrpc"
	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
	"github.com/gypsumquay/gypsumquay/internal/proxy/sleep"
)

const (
	// gossipEvery is how often a proxy compares copies with another one.
	gossipEvery = 500 * time.Millisecond
	// seedEvery is that of a proxy which knows nothing yet.
	seedEvery = 200 * time.Millisecond
	// pushesMost bounds the peers that news are sent to at once; the others
	// hear of them in their own exchanges, within a second or two. More would
	// fill the link of a small VM where a region has a hundred.
	pushesMost = 32
	// farOneIn is how many exchanges go to another region: one in so many.
	farOneIn = 4
)

type (
	// gossip compares the copy with other proxies' and spreads news.
	gossip struct {
		feed *feed
		send func(ctx context.Context, to netip.AddrPort, m peerdrpc.SyncMessage) (peerdrpc.SyncMessage, error)
	}
)

func (g *gossip) run(ctx context.Context) {
	for ctx.Err() == nil {
		every := gossipEvery
		if g.feed.revision() == 0 {
			every = seedEvery
		}
		sleep.For(ctx, every/2+rand.N(every))
		if to, ok := g.pick(); ok {
			g.exchange(ctx, to)
		}
	}
}

// exchange tells a peer the own revision, takes in what it has, and sends it
// what it lacks.
func (g *gossip) exchange(ctx context.Context, to netip.AddrPort) {
	reply, err := g.send(ctx, to, g.message(g.feed.since(g.feed.revision())))
	if err != nil {
		klog.V(1).InfoS("peer did not answer", "peer", to, "error", err.Error())
		return
	}
	g.take(reply)
	if reply.Revision < g.feed.revision() {
		g.push(ctx, to, reply.Revision)
	}
}

func (g *gossip) push(ctx context.Context, to netip.AddrPort, since uint64) {
	reply, err := g.send(ctx, to, g.message(g.feed.since(since)))
	if err != nil {
		klog.V(1).InfoS("news not delivered", "peer", to, "error", err.Error())
		return
	}
	g.take(reply)
}

// handle answers a peer.
func (g *gossip) handle(m peerdrpc.SyncMessage) peerdrpc.SyncMessage {
	g.take(m)
	return g.message(g.feed.since(m.Revision))
}

func (g *gossip) take(m peerdrpc.SyncMessage) {
	g.feed.hear(m.From, m.Leaving)
	g.feed.apply(m.Delta)
}

func (g *gossip) message(d replica.Delta) peerdrpc.SyncMessage {
	return peerdrpc.SyncMessage{From: g.feed.daemon.settings.Name, Leaving: g.feed.daemon.isStopping(), Delta: d}
}

// pick draws a peer, mostly of the own region; without any known, a seed.
func (g *gossip) pick() (netip.AddrPort, bool) {
	near, far := g.peers()
	list := near
	if len(far) > 0 && (len(near) == 0 || rand.N(farOneIn) == 0) {
		list = slices.Concat(slices.Collect(maps.Values(far))...)
	}
	if len(list) == 0 {
		self := g.feed.daemon.settings.Listen.Peers
		list = slices.DeleteFunc(slices.Clone(g.feed.daemon.settings.Seeds), func(a netip.AddrPort) bool { return a == self })
	}
	if len(list) == 0 {
		return netip.AddrPort{}, false
	}
	return list[rand.N(len(list))], true
}

// peers lists the other proxies of the own region and those of each other
// region.
func (g *gossip) peers() (near []netip.AddrPort, far map[string][]netip.AddrPort) {
	f := g.feed
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
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	near = near[:min(len(near), pushesMost)]
	for _, list := range far {
		near = append(near, list[rand.N(len(list))])
	}
	for _, to := range near {
		go g.push(ctx, to, since)
	}
}
