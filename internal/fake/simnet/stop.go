package simnet

import (
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

// StopProxy performs a graceful shutdown in the same steps as the daemon.
func (s *Sim) StopProxy(i int) {
	p := s.proxies[i]
	if !p.alive {
		return
	}
	s.logEvent("graceful shutdown %s", p.name)
	p.kernel.BeginStop(p.now())
	p.pollUntil(func() bool { return p.kernel.MayStopServing(p.now()) }, func() {
		p.acceptsConnections = false
		p.pollUntil(func() bool { return p.pendingRequests == 0 && p.kernel.Drained() }, p.handOverRecords)
	})
}

// pollUntil calls then once the condition holds.
func (p *Proxy) pollUntil(condition func() bool, then func()) {
	if condition() {
		then()
		return
	}
	p.after(stopPollInterval, func() { p.pollUntil(condition, then) })
}

// handOverRecords closes the token records and hands them over to their next owner.
func (p *Proxy) handOverRecords() {
	records, owners := p.kernel.CloseRecords()
	p.handOverTo(records, owners)
}

// handOverTo hands the records over to the first of the owners that responds.
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

// releaseSlots gives up the quota slots, waiting for at most slotReleaseTimeout, and ends the
// process.
func (p *Proxy) releaseSlots() {
	deadline := p.now().Add(slotReleaseTimeout)
	p.pollUntil(func() bool {
		next := p.kernel.ReleaseSlots(p.now())
		if next != nil {
			p.storeAssignment(core.StoreAssignment{ExpectedVersion: next.Version - 1, Value: next})
		}
		return next == nil || p.now().After(deadline)
	}, func() {
		p.sim.logEvent("stopped %s", p.name)
		p.sim.checks.gracefulShutdowns++
		if len(p.openConnections) > 0 {
			p.sim.checks.violate("graceful shutdown of %s interrupted %d requests", p.name, len(p.openConnections))
		}
		p.exit()
	})
}
