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
	// askAgain is how long a queued question waits before its owner is asked whether
	// it is still there: a grant may be lost, and an owner gone.
	askAgain = 300 * time.Millisecond
)

type (
	// places asks for places at servers, of other proxies or of the own kernel, and
	// carries what the own gates grant.
	places struct {
		daemon *Daemon

		mu sync.Mutex
		// waiting are the own questions that are queued, by their ids.
		waiting map[uint64]chan steering.SlotReply
	}
)

func newPlaces(d *Daemon) *places {
	return &places{daemon: d, waiting: make(map[uint64]chan steering.SlotReply)}
}

// ask waits until a place is granted or denied, but not for longer than one is of
// use. It reports false if the owner of the gate does not answer, or the context ends.
func (p *places) ask(ctx context.Context, a steering.SlotRequest) (steering.SlotReply, bool) {
	granted := p.register(a.ID)
	defer p.forget(a.ID)
	last := time.NewTimer(a.Last.Sub(p.daemon.now()))
	defer last.Stop()
	for {
		reply, answered := p.askOnce(ctx, a)
		if !answered || reply.Verdict != admission.Queued {
			return reply, answered
		}
		again := time.NewTimer(askAgain)
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
			return steering.SlotReply{}, false
		case <-again.C:
		}
	}
}

func (p *places) askOnce(ctx context.Context, a steering.SlotRequest) (reply steering.SlotReply, answered bool) {
	d := p.daemon
	if a.Owner.Name == d.settings.Name {
		d.do(func(k *steering.Kernel, now time.Time) { reply = k.HandleSlotRequest(now, a) })
		return reply, true
	}
	peer, known := d.feed.peerOf(a.Owner.Name)
	if !known {
		return reply, false
	}
	reply, err := d.peers.Ask(ctx, peer, d.now(), a)
	if err != nil {
		klog.V(1).InfoS("gate does not answer", "proxy", a.Owner.Name, "server", a.Server, "error", err.Error())
	}
	return reply, err == nil
}

func (p *places) register(id uint64) chan steering.SlotReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	granted := make(chan steering.SlotReply, 1)
	p.waiting[id] = granted
	return granted
}

func (p *places) forget(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

// hear takes in what has become of an own question. Whoever no longer waits for it
// has given the place back.
func (p *places) hear(r steering.SlotReply) {
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

// giveBack tells the owner of a gate that a place is free.
func (p *places) giveBack(r steering.SlotRelease) {
	d := p.daemon
	if r.Owner.Name == d.settings.Name {
		p.release(r)
		return
	}
	peer, known := d.feed.peerOf(r.Owner.Name)
	if !known {
		return
	}
	go func() {
		if err := d.peers.Release(context.Background(), peer, r); err != nil {
			klog.V(1).InfoS("place not given back; it runs out", "proxy", r.Owner.Name, "server", r.Server, "error", err.Error())
		}
	}()
}

// release takes a place at an own gate back and tells who gets it.
func (p *places) release(r steering.SlotRelease) {
	var grants []steering.SlotReply
	p.daemon.do(func(k *steering.Kernel, now time.Time) { grants = k.HandleSlotRelease(now, r) })
	p.tell(grants)
}

// tell carries what own gates have granted or denied to those that asked.
func (p *places) tell(grants []steering.SlotReply) {
	d := p.daemon
	for _, g := range grants {
		if g.From == d.settings.Name {
			p.hear(g)
			continue
		}
		if peer, known := d.feed.peerOf(g.From); known {
			go p.send(peer, g)
		}
	}
}

func (p *places) send(peer netip.AddrPort, g steering.SlotReply) {
	if err := p.daemon.peers.Grant(context.Background(), peer, g); err != nil {
		klog.V(1).InfoS("grant not delivered; the proxy asks again", "proxy", g.From, "error", err.Error())
	}
}
