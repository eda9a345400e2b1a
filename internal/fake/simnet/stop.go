package simnet

import (
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

// StopProxy is the planned stop, as the daemon does it.
func (s *Sim) StopProxy(i int) {
	p := s.proxies[i]
	if !p.alive {
		return
	}
	s.trace("planned stop %s", p.name)
	p.kernel.BeginStop(p.now())
	p.until(func() bool { return p.kernel.MayStopServing(p.now()) }, func() {
		p.serving = false
		p.until(func() bool { return p.pending == 0 && p.kernel.Drained() }, p.handOver)
	})
}

func (p *Proxy) until(done func() bool, then func()) {
	if done() {
		then()
		return
	}
	p.after(stopPoll, func() { p.until(done, then) })
}

func (p *Proxy) handOver() {
	records, heirs := p.kernel.CloseRecords()
	p.leaveTo(records, heirs)
}

func (p *Proxy) leaveTo(records []caller.Handover, heirs []peer.Member) {
	if len(heirs) == 0 {
		p.release()
		return
	}
	p.call(heirs[0].PeerAddress, callTimeout, func(target *Proxy, reply func(func())) {
		target.kernel.HandleHandover(target.now(), p.name, p.kernel.Stamp(p.now()), records)
		reply(func() {
			p.perform(p.kernel.FinishHandover(p.now(), heirs[0].Name))
			p.release()
		})
	}, func() { p.leaveTo(records, heirs[1:]) })
}

func (p *Proxy) release() {
	limit := p.now().Add(releaseLimit)
	p.until(func() bool {
		next := p.kernel.ReleaseSlots(p.now())
		if next != nil {
			p.store(core.StoreAssignment{ExpectedVersion: next.Version - 1, Value: next})
		}
		return next == nil || p.now().After(limit)
	}, func() {
		p.sim.trace("stopped %s", p.name)
		p.sim.checks.stopped++
		if len(p.open) > 0 {
			p.sim.checks.violate("planned stop of %s cut %d requests", p.name, len(p.open))
		}
		p.end()
	})
}
