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
	s.logEvent("planned stop %s", p.name)
	p.kernel.BeginStop(p.now())
	p.pollUntil(func() bool { return p.kernel.MayStopServing(p.now()) }, func() {
		p.acceptsConnections = false
		p.pollUntil(func() bool { return p.pendingRequests == 0 && p.kernel.Drained() }, p.handOverRecords)
	})
}

func (p *Proxy) pollUntil(done func() bool, then func()) {
	if done() {
		then()
		return
	}
	p.after(stopPollInterval, func() { p.pollUntil(done, then) })
}

func (p *Proxy) handOverRecords() {
	records, owners := p.kernel.CloseRecords()
	p.handOverTo(records, owners)
}

func (p *Proxy) handOverTo(records []caller.Handover, owners []peer.Member) {
	if len(owners) == 0 {
		p.releaseSlots()
		return
	}
	p.callPeer(owners[0].PeerAddress, peerCallTimeout, func(target *Proxy, reply func(func())) {
		target.kernel.HandleHandover(target.now(), p.name, p.kernel.Stamp(p.now()), records)
		reply(func() {
			p.perform(p.kernel.FinishHandover(p.now(), owners[0].Name))
			p.releaseSlots()
		})
	}, func() { p.handOverTo(records, owners[1:]) })
}

func (p *Proxy) releaseSlots() {
	limit := p.now().Add(slotReleaseTimeout)
	p.pollUntil(func() bool {
		next := p.kernel.ReleaseSlots(p.now())
		if next != nil {
			p.storeAssignment(core.StoreAssignment{ExpectedVersion: next.Version - 1, Value: next})
		}
		return next == nil || p.now().After(limit)
	}, func() {
		p.sim.logEvent("stopped %s", p.name)
		p.sim.checks.plannedStops++
		if len(p.openConnections) > 0 {
			p.sim.checks.violate("planned stop of %s cut %d requests", p.name, len(p.openConnections))
		}
		p.exit()
	})
}
