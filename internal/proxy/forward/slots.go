package forward

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// slotPollInterval is how often a queued request for a slot is sent to the owner again: a
	// grant may be lost, and the owner may be gone.
	slotPollInterval = 300 * time.Millisecond
)

type (
	// slotClient requests slots at backend servers, and delivers those granted here. The slots of
	// a server are granted by one proxy, the owner of the server's concurrency limiter.
	slotClient struct {
		daemon *Daemon

		mu sync.Mutex
		// waiting holds this proxy's queued requests for slots, by ticket id.
		waiting map[uint64]chan steering.SlotReply
	}
)

func newSlotClient(d *Daemon) *slotClient {
	return &slotClient{daemon: d, waiting: make(map[uint64]chan steering.SlotReply)}
}

// acquire waits until a slot is granted or denied, at most until a.Last, after which it would be
// too late. It reports false if the owner of the limiter doesn't respond or the context is
// canceled.
func (p *slotClient) acquire(ctx context.Context, a steering.SlotRequest) (steering.SlotReply, bool) {
	replies := p.register(a.ID)
	defer p.forget(a.ID)
	deadline := time.NewTimer(a.Last.Sub(p.daemon.now()))
	defer deadline.Stop()
	for {
		reply, responded := p.request(ctx, a)
		if !responded || reply.Verdict != admission.Queued {
			return reply, responded
		}
		poll := time.NewTimer(slotPollInterval)
		select {
		case reply = <-replies:
			poll.Stop()
			return reply, true
		case <-deadline.C:
			poll.Stop()
			reply.Verdict = admission.Denied
			return reply, true
		case <-ctx.Done():
			poll.Stop()
			return steering.SlotReply{}, false
		case <-poll.C:
		}
	}
}

func (p *slotClient) request(ctx context.Context, a steering.SlotRequest) (reply steering.SlotReply, responded bool) {
	d := p.daemon
	if a.Owner.Name == d.settings.Name {
		d.withKernel(func(k *steering.Kernel, now time.Time) { reply = k.HandleSlotRequest(now, a) })
		return reply, true
	}
	peer, known := d.replica.peerAddress(a.Owner.Name)
	if !known {
		return reply, false
	}
	reply, err := d.peerClient.RequestSlot(ctx, peer, d.now(), a)
	if err != nil {
		klog.V(1).InfoS("slot request to limiter owner failed", "proxy", a.Owner.Name, "server", a.Server, "error", err.Error())
	}
	return reply, err == nil
}

func (p *slotClient) register(id uint64) chan steering.SlotReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	replies := make(chan steering.SlotReply, 1)
	p.waiting[id] = replies
	return replies
}

func (p *slotClient) forget(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

// deliver passes a reply to the request that waits for it. If none does, it has given up and
// released the slot.
func (p *slotClient) deliver(r steering.SlotReply) {
	p.mu.Lock()
	replies := p.waiting[r.ID]
	p.mu.Unlock()
	if replies == nil {
		return
	}
	select {
	case replies <- r:
	default:
	}
}

// release returns a slot to the owner of the limiter.
func (p *slotClient) release(r steering.SlotRelease) {
	d := p.daemon
	if r.Owner.Name == d.settings.Name {
		p.releaseLocal(r)
		return
	}
	peer, known := d.replica.peerAddress(r.Owner.Name)
	if !known {
		return
	}
	go func() {
		if err := d.peerClient.ReleaseSlot(context.Background(), peer, r); err != nil {
			klog.V(1).InfoS("slot not released; it will expire", "proxy", r.Owner.Name, "server", r.Server, "error", err.Error())
		}
	}()
}

// releaseLocal returns a slot to a limiter owned by this proxy, and sends the slots that are
// granted in turn.
func (p *slotClient) releaseLocal(r steering.SlotRelease) {
	var grants []steering.SlotReply
	p.daemon.withKernel(func(k *steering.Kernel, now time.Time) { grants = k.HandleSlotRelease(now, r) })
	p.sendReplies(grants)
}

// sendReplies sends grants and denials of this proxy's limiters to the proxies that requested the
// slots.
func (p *slotClient) sendReplies(grants []steering.SlotReply) {
	d := p.daemon
	for _, g := range grants {
		if g.From == d.settings.Name {
			p.deliver(g)
			continue
		}
		if peer, known := d.replica.peerAddress(g.From); known {
			go p.sendReply(peer, g)
		}
	}
}

func (p *slotClient) sendReply(peer netip.AddrPort, g steering.SlotReply) {
	if err := p.daemon.peerClient.SendSlotReply(context.Background(), peer, g); err != nil {
		klog.V(1).InfoS("slot reply not delivered; the proxy will retry its request", "proxy", g.From, "error", err.Error())
	}
}
