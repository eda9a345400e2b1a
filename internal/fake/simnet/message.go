package simnet

import (
	"net/netip"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
)

// call sends a message to a peer and its answer back. lost runs in the caller
// when no answer came in time, or at once when nobody listens.
func (p *Proxy) call(to netip.AddrPort, timeout time.Duration, serve func(*Proxy, func(answer func())), lost func()) {
	life := p.life
	settled := false
	settle := func(f func()) func() {
		return func() {
			p.do(life, func() {
				if !settled {
					settled = true
					f()
				}
			})
		}
	}
	p.sim.After(timeout, settle(lost))
	target := p.sim.byAddress(to)
	if target == nil {
		return
	}
	there, ok := p.sim.delay(p.place, target.place)
	if !ok {
		return
	}
	// A message decided just before a freeze leaves at the thaw.
	p.after(0, func() {
		p.sim.After(there, func() {
			if !target.alive {
				p.sim.After(there, settle(lost))
				return
			}
			target.do(target.life, func() {
				serve(target, func(answer func()) {
					if back, ok := p.sim.delay(target.place, p.place); ok {
						p.sim.After(back, settle(answer))
					}
				})
			})
		})
	})
}

func (p *Proxy) exchange(a core.SendExchange) {
	asked := p.now()
	p.call(a.To.PeerAddress, callTimeout, func(target *Proxy, reply func(func())) {
		began := time.Now()
		answer := target.kernel.HandleExchange(target.now(), a.Message)
		p.sim.KernelTime += time.Since(began)
		p.sim.checks.exchanged(a.Message, answer)
		reply(func() {
			began := time.Now()
			p.kernel.HandleExchangeReply(p.now(), asked, answer)
			p.sim.KernelTime += time.Since(began)
		})
	}, func() { p.kernel.HandleExchangeFailure(p.now(), a.To.Name) })
}

func (p *Proxy) borrow(a core.SendBorrow) {
	p.call(a.To.PeerAddress, callTimeout, func(target *Proxy, reply func(func())) {
		answer := target.kernel.HandleBorrow(target.now(), a.Message)
		reply(func() { p.kernel.HandleBorrowReply(p.now(), a, &answer) })
	}, func() { p.kernel.HandleBorrowReply(p.now(), a, nil) })
}

func (p *Proxy) probe(a core.SendProbe) {
	w := p.sim.workers[a.Server]
	d, ok := p.sim.delay(p.place, w.place)
	if !ok {
		p.after(callTimeout, func() { p.kernel.HandleProbeResult(p.now(), a.Server, backend.Health{}) })
		return
	}
	p.sim.After(d, func() {
		up := !w.down
		report := w.load()
		p.after(d, func() {
			p.kernel.HandleProbeResult(p.now(), a.Server, backend.Health{OK: up, ConnectionRefused: !up, Report: report})
		})
	})
}

func (p *Proxy) store(a core.StoreAssignment) {
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
			if ok, answered := p.sim.platform.swap(keyAssignment, value.Revision, a.Value.Encode()); ok && answered {
				p.kernel.ApplyAssignment(p.now(), a.Value)
			}
		})
	})
}

// poll makes up for watches that fired during an outage or a freeze.
func (p *Proxy) poll(life int) {
	p.do(life, func() {
		p.watchFires(keyBundle)
		p.watchFires(keyAssignment)
		p.machinesFire()
		p.after(platformPoll, func() { p.poll(life) })
	})
}

func (p *Proxy) watchFires(key kv.Key) {
	if !p.alive || p.sim.platform.down {
		return
	}
	p.after(platformDelay, func() { p.read(key) })
}

func (p *Proxy) read(key kv.Key) {
	if !p.kernel.IsRelay() || p.sim.platform.down {
		return
	}
	asked := p.now()
	value := p.sim.platform.values[key]
	if value.Revision == p.watching[key] {
		return
	}
	p.sim.platform.Calls++
	p.watching[key] = value.Revision
	p.after(platformDelay, func() { p.hear(key, value, asked) })
}

func (p *Proxy) hear(key kv.Key, value kv.Value, asked time.Time) {
	var repair []byte
	if key == keyBundle {
		p.kernel.ApplyBundle(p.now(), value.Data)
		repair = p.kernel.RepairBundle(value.Data)
	} else {
		a, err := kv.ParseAssignment(value.Data)
		if err == nil {
			p.kernel.ApplyAssignment(p.now(), a)
		}
		p.kernel.HandlePlatformReply(p.now(), asked)
		repair = p.kernel.RepairAssignment(a)
	}
	if repair != nil {
		p.sim.platform.swap(key, value.Revision, repair)
	}
}

func (p *Proxy) machinesFire() {
	if !p.alive || p.sim.platform.down {
		return
	}
	p.after(platformDelay, func() {
		list := p.sim.platform.machines
		if list.Version == p.listSeen || !p.kernel.IsRelay() {
			return
		}
		p.listSeen = list.Version
		p.sim.platform.Calls++
		list.Machines = append([]kv.Machine(nil), list.Machines...)
		p.kernel.ApplyMachines(p.now(), &list)
	})
}
