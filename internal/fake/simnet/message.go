package simnet

import (
	"net/netip"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
)

// callPeer sends a message to a peer and delivers the response to the caller. onFailure runs in the
// caller if no response arrives within the timeout, or after a round trip if the peer is not
// running and its VM refuses the connection.
func (p *Proxy) callPeer(to netip.AddrPort, timeout time.Duration, handle func(*Proxy, func(response func())), onFailure func()) {
	incarnation := p.incarnation
	finished := false
	finishOnce := func(f func()) func() {
		return func() {
			p.runInProcess(incarnation, func() {
				if !finished {
					finished = true
					f()
				}
			})
		}
	}
	p.sim.After(timeout, finishOnce(onFailure))
	target := p.sim.proxyByAddress(to)
	if target == nil {
		return
	}
	outboundDelay, ok := p.sim.delay(p.location, target.location)
	if !ok {
		return
	}
	// A message decided on just before a freeze leaves the process when it resumes.
	p.after(0, func() {
		p.sim.After(outboundDelay, func() {
			if !target.alive {
				p.sim.After(outboundDelay, finishOnce(onFailure))
				return
			}
			target.runInProcess(target.incarnation, func() {
				handle(target, func(response func()) {
					if returnDelay, ok := p.sim.delay(target.location, p.location); ok {
						p.sim.After(returnDelay, finishOnce(response))
					}
				})
			})
		})
	})
}

func (p *Proxy) sendExchange(a core.SendExchange) {
	sentAt := p.now()
	p.callPeer(a.To.PeerAddress, peerCallTimeout, func(target *Proxy, reply func(func())) {
		start := time.Now()
		response := target.kernel.HandleExchange(target.now(), a.Message)
		p.sim.KernelTime += time.Since(start)
		p.sim.checks.observeExchange(a.Message, response)
		reply(func() {
			start := time.Now()
			p.kernel.HandleExchangeReply(p.now(), sentAt, response)
			p.sim.KernelTime += time.Since(start)
		})
	}, func() { p.kernel.HandleExchangeFailure(p.now(), a.To.Name) })
}

func (p *Proxy) sendBorrow(a core.SendBorrow) {
	p.callPeer(a.To.PeerAddress, peerCallTimeout, func(target *Proxy, reply func(func())) {
		response := target.kernel.HandleBorrow(target.now(), a.Message)
		reply(func() { p.kernel.HandleBorrowReply(p.now(), a, &response) })
	}, func() { p.kernel.HandleBorrowReply(p.now(), a, nil) })
}

func (p *Proxy) sendProbe(probe core.SendProbe) {
	server := p.sim.servers[probe.Server]
	delay, ok := p.sim.delay(p.location, server.location)
	if !ok {
		p.after(peerCallTimeout, func() { p.kernel.HandleProbeResult(p.now(), probe.Server, backend.Health{}) })
		return
	}
	p.sim.After(delay, func() {
		up := !server.down
		report := server.loadReport()
		p.after(delay, func() {
			p.kernel.HandleProbeResult(p.now(), probe.Server, backend.Health{OK: up, ConnectionRefused: !up, Report: report})
		})
	})
}

// storeAssignment writes an assignment to the platform unless another version than the expected one
// is stored; in that case it applies the stored one.
func (p *Proxy) storeAssignment(a core.StoreAssignment) {
	p.after(platformDelay, func() {
		value, up := p.sim.platform.get(keyAssignment)
		if !up {
			return
		}
		stored, err := kv.ParseAssignment(value.Data)
		if err == nil && stored.Version != a.ExpectedVersion {
			p.kernel.ApplyAssignment(p.now(), stored)
			return
		}
		p.after(platformDelay, func() {
			if ok, responded := p.sim.platform.compareAndSwap(keyAssignment, value.Revision, a.Value.Encode()); ok && responded {
				p.kernel.ApplyAssignment(p.now(), a.Value)
			}
		})
	})
}

// pollPlatform reads the platform at intervals, to catch up on watch events missed during an outage
// or a freeze.
func (p *Proxy) pollPlatform(incarnation int) {
	p.runInProcess(incarnation, func() {
		p.onValueChanged(keyBundle)
		p.onValueChanged(keyAssignment)
		p.onVMListChanged()
		p.after(platformPollInterval, func() { p.pollPlatform(incarnation) })
	})
}

// onValueChanged handles a watch event for a platform value.
func (p *Proxy) onValueChanged(key kv.Key) {
	if !p.alive || p.sim.platform.down {
		return
	}
	p.after(platformDelay, func() { p.readValue(key) })
}

// readValue reads a value from the platform if this proxy is a relay and the revision is new to it.
func (p *Proxy) readValue(key kv.Key) {
	if !p.kernel.IsRelay() || p.sim.platform.down {
		return
	}
	sentAt := p.now()
	value := p.sim.platform.values[key]
	if value.Revision == p.watchedRevisions[key] {
		return
	}
	p.sim.platform.Calls++
	p.watchedRevisions[key] = value.Revision
	p.after(platformDelay, func() { p.applyValue(key, value, sentAt) })
}

// applyValue passes a value to the kernel and writes back the repaired value if the kernel has one.
func (p *Proxy) applyValue(key kv.Key, value kv.Value, sentAt time.Time) {
	var repair []byte
	if key == keyBundle {
		p.kernel.ApplyBundle(p.now(), value.Data)
		repair = p.kernel.RepairBundle(value.Data)
	} else {
		a, err := kv.ParseAssignment(value.Data)
		if err == nil {
			p.kernel.ApplyAssignment(p.now(), a)
		}
		p.kernel.HandlePlatformReply(p.now(), sentAt)
		repair = p.kernel.RepairAssignment(a)
	}
	if repair != nil {
		p.sim.platform.compareAndSwap(key, value.Revision, repair)
	}
}

// onVMListChanged handles a watch event for the list of VMs.
func (p *Proxy) onVMListChanged() {
	if !p.alive || p.sim.platform.down {
		return
	}
	p.after(platformDelay, func() {
		list := p.sim.platform.vmList
		if list.Version == p.machineListVersion || !p.kernel.IsRelay() {
			return
		}
		p.machineListVersion = list.Version
		p.sim.platform.Calls++
		list.VMs = append([]kv.VM(nil), list.VMs...)
		p.kernel.ApplyVMList(p.now(), &list)
	})
}
