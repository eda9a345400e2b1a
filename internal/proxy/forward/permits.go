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
	// permitPollInterval is how long a queued question waits before its owner is asked whether
	// it is still there: a grant may be lost, and an owner gone.
	permitPollInterval = 300 * time.Millisecond
)

type (
	// permitClient asks for places at servers, of other proxies or of the own kernel, and
	// carries what the own gates grant.
	permitClient struct {
		daemon *Daemon

		mu sync.Mutex
		// waiting are the own questions that are queued, by their ids.
		waiting map[uint64]chan steering.Reply
	}
)

func newPermitClient(d *Daemon) *permitClient {
	return &permitClient{daemon: d, waiting: make(map[uint64]chan steering.Reply)}
}

// acquire waits until a place is granted or denied, but not for longer than one is of
// use. It reports false if the owner of the gate does not answer, or the context ends.
func (p *permitClient) acquire(ctx context.Context, a steering.Ask) (steering.Reply, bool) {
	granted := p.register(a.ID)
	defer p.forget(a.ID)
	last := time.NewTimer(a.Last.Sub(p.daemon.now()))
	defer last.Stop()
	for {
		reply, answered := p.request(ctx, a)
		if !answered || reply.Verdict != admission.Queued {
			return reply, answered
		}
		again := time.NewTimer(permitPollInterval)
		select {
		case reply = <-granted:
			again.Stop()
			return reply, true
		case <-last.C:
			again.Stop()
			reply.Verdict = admission.Denied
			return reply, true
		case <-ctx.Done():
			again.Stop()
			return steering.Reply{}, false
		case <-again.C:
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
		klog.V(1).InfoS("gate does not answer", "proxy", a.Owner.Name, "server", a.Server, "error", err.Error())
	}
	return reply, err == nil
}

func (p *permitClient) register(id uint64) chan steering.Reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	granted := make(chan steering.Reply, 1)
	p.waiting[id] = granted
	return granted
}

func (p *permitClient) forget(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

// deliver takes in what has become of an own question. Whoever no longer waits for it
// has given the place back.
func (p *permitClient) deliver(r steering.Reply) {
	p.mu.Lock()
	granted := p.waiting[r.ID]
	p.mu.Unlock()
	if granted == nil {
		return
	}
	select {
	case granted <- r:
	default:
	}
}

// release tells the owner of a gate that a place is free.
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
			klog.V(1).InfoS("place not given back; it runs out", "proxy", r.Owner.Name, "server", r.Server, "error", err.Error())
		}
	}()
}

// releaseLocal takes a place at an own gate back and tells who gets it.
func (p *permitClient) releaseLocal(r steering.Release) {
	var grants []steering.Reply
	p.daemon.withKernel(func(k *steering.Kernel, now time.Time) { grants = k.HearRelease(now, r) })
	p.sendReplies(grants)
}

// sendReplies carries what own gates have granted or denied to those that asked.
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
		klog.V(1).InfoS("grant not delivered; the proxy asks again", "proxy", g.From, "error", err.Error())
	}
}
