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
	// permitPollInterval is how often a queued request for a permit is sent to the owner again: a
	// grant may be lost, and the owner may be gone.
	permitPollInterval = 300 * time.Millisecond
)

type (
	// permitClient requests permits to send a request to a server, and delivers those granted
	// here. Each server's permits are granted by one proxy, the owner of its admission gate.
	permitClient struct {
		daemon *Daemon

		mu sync.Mutex
		// waiting holds this proxy's queued requests for permits, by ticket id.
		waiting map[uint64]chan steering.Reply
	}
)

func newPermitClient(d *Daemon) *permitClient {
	return &permitClient{daemon: d, waiting: make(map[uint64]chan steering.Reply)}
}

// acquire waits until a permit is granted or denied, at most until a.Last, after which it would be
// too late. It reports false if the owner of the gate doesn't answer or the context is canceled.
func (p *permitClient) acquire(ctx context.Context, a steering.Ask) (steering.Reply, bool) {
	replies := p.register(a.ID)
	defer p.forget(a.ID)
	deadline := time.NewTimer(a.Last.Sub(p.daemon.now()))
	defer deadline.Stop()
	for {
		reply, answered := p.request(ctx, a)
		if !answered || reply.Verdict != admission.Queued {
			return reply, answered
		}
		poll := time.NewTimer(permitPollInterval)
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
			return steering.Reply{}, false
		case <-poll.C:
		}
	}
}

func (p *permitClient) request(ctx context.Context, a steering.Ask) (reply steering.Reply, answered bool) {
	d := p.daemon
	if a.Owner.Name == d.settings.Name {
		d.withKernel(func(k *steering.Kernel, now time.Time) { reply = k.HearAsk(now, a) })
		return reply, true
	}
	peer, known := d.replica.peerAddress(a.Owner.Name)
	if !known {
		return reply, false
	}
	reply, err := d.peerClient.Ask(ctx, peer, d.now(), a)
	if err != nil {
		klog.V(1).InfoS("permit request to gate owner failed", "proxy", a.Owner.Name, "server", a.Server, "error", err.Error())
	}
	return reply, err == nil
}

func (p *permitClient) register(id uint64) chan steering.Reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	replies := make(chan steering.Reply, 1)
	p.waiting[id] = replies
	return replies
}

func (p *permitClient) forget(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

// deliver passes a reply to the request that waits for it. If none does, it has given up and
// released the permit.
func (p *permitClient) deliver(r steering.Reply) {
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

// release returns a permit to the owner of the gate.
func (p *permitClient) release(r steering.Release) {
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
		if err := d.peerClient.Release(context.Background(), peer, r); err != nil {
			klog.V(1).InfoS("permit not released; it will expire", "proxy", r.Owner.Name, "server", r.Server, "error", err.Error())
		}
	}()
}

// releaseLocal returns a permit to a gate owned by this proxy, and sends the permits that are
// granted in turn.
func (p *permitClient) releaseLocal(r steering.Release) {
	var grants []steering.Reply
	p.daemon.withKernel(func(k *steering.Kernel, now time.Time) { grants = k.HearRelease(now, r) })
	p.sendReplies(grants)
}

// sendReplies sends grants and denials of this proxy's gates to the proxies that requested them.
func (p *permitClient) sendReplies(grants []steering.Reply) {
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

func (p *permitClient) sendReply(peer netip.AddrPort, g steering.Reply) {
	if err := p.daemon.peerClient.Grant(context.Background(), peer, g); err != nil {
		klog.V(1).InfoS("permit not delivered; the proxy will ask again", "proxy", g.From, "error", err.Error())
	}
}
