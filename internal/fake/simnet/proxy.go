package simnet

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	callTimeout    = time.Second
	dialTimeout    = time.Second
	platformPoll   = 2 * time.Second
	clockCorrected = 3 * time.Second
	stopPoll       = 50 * time.Millisecond
	releaseLimit   = time.Second
	forwardMinimum = time.Millisecond
)

type (
	// Proxy is one proxy process: a kernel with its driver's part.
	Proxy struct {
		sim    *Sim
		name   string
		index  int
		place  location
		kernel *core.Kernel
		life   int
		alive  bool
		frozen bool
		// waiting holds what reached a frozen process.
		waiting []func()
		// behind is how much its clock lost in freezes with a stopped clock.
		behind  time.Duration
		serving bool
		pending int
		// open holds, by send, what breaks a caller's connection.
		open     map[uint64]func()
		watching map[kv.Key]kv.Revision
		listSeen uint64
	}

	request struct {
		core.Request
		send  uint64
		key   string
		reply func(caller.Result, string)
	}
)

func (s *Sim) addProxy(i int) {
	at := 0
	n := i
	for at < len(s.config.Bundle.Regions)-1 && n >= s.config.Bundle.Regions[at].QuotaSlots {
		n -= s.config.Bundle.Regions[at].QuotaSlots
		at++
	}
	r := s.config.Bundle.Regions[at]
	p := &Proxy{
		sim:   s,
		name:  fmt.Sprintf("proxy-%d", i+1),
		index: i,
		place: location{r.Name, r.Domains[n%len(r.Domains)]},
	}
	s.proxies = append(s.proxies, p)
	p.start()
}

func (p *Proxy) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 255, byte(p.index >> 8), byte(p.index)}), 1)
}

// id names this incarnation.
func (p *Proxy) id() string { return fmt.Sprint(p.name, "/", p.life) }

// start begins a new incarnation.
func (p *Proxy) start() {
	p.life++
	p.alive = true
	p.frozen = false
	p.serving = true
	p.behind = 0
	p.waiting = nil
	p.pending = 0
	p.open = make(map[uint64]func())
	p.watching = make(map[kv.Key]kv.Revision)
	p.listSeen = 0
	c := core.Config{
		Self: peer.Member{
			Name: p.name, Address: p.address(), PeerAddress: p.address(), Region: p.place.region,
			Domain: p.place.domain, Incarnation: uint64(p.sim.now.UnixMilli())<<8 | uint64(p.life),
		},
		Trust:  p.sim.trust,
		Faults: p.sim.config.KernelFaults,
	}
	binary.BigEndian.PutUint64(c.Seed[:], p.sim.random.Uint64())
	binary.BigEndian.PutUint64(c.TokenKey[:], p.sim.random.Uint64())
	for _, seed := range p.sim.proxies[:min(3, len(p.sim.proxies))] {
		c.Seeds = append(c.Seeds, seed.address())
	}
	p.kernel = core.New(c, p.now())
	p.sim.setMachineNow(p.name)
	p.tick(p.life)
	p.poll(p.life)
}

func (s *Sim) setMachineNow(name string) { s.platform.setMachine(name, kv.MachineLive) }

// now is the process's own clock.
func (p *Proxy) now() time.Time { return p.sim.now.Add(-p.behind) }

// do runs a function in the process: now, at its thaw, or never.
func (p *Proxy) do(life int, f func()) {
	switch {
	case !p.alive || p.life != life:
	case p.frozen:
		p.waiting = append(p.waiting, f)
	default:
		f()
	}
}

func (p *Proxy) after(d time.Duration, f func()) {
	life := p.life
	p.sim.After(d, func() { p.do(life, f) })
}

func (p *Proxy) tick(life int) {
	p.do(life, func() {
		began := time.Now()
		actions := p.kernel.Tick(p.now())
		p.sim.KernelTime += time.Since(began)
		p.perform(actions)
		p.sim.checks.proxyTicked(p)
		p.after(core.TickInterval, func() { p.tick(life) })
	})
}

// KillProxy ends a process at once.
func (s *Sim) KillProxy(i int) {
	p := s.proxies[i]
	if !p.alive {
		return
	}
	s.trace("kill %s", p.name)
	p.end()
}

// end is the end of the process; connections to it break.
func (p *Proxy) end() {
	p.alive = false
	p.life++
	ids := make([]uint64, 0, len(p.open))
	for id := range p.open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		p.open[id]()
	}
	p.sim.SetMachine(p.name, "")
}

// RestartProxy begins a new incarnation on the VM.
func (s *Sim) RestartProxy(i int) {
	if p := s.proxies[i]; !p.alive {
		s.trace("restart %s", p.name)
		p.start()
	}
}

// FreezeProxy stops a process; with a stopped clock it does not know afterwards,
// until its VM's clock is set right.
func (s *Sim) FreezeProxy(i int, d time.Duration, clockToo bool) {
	p := s.proxies[i]
	if !p.alive || p.frozen {
		return
	}
	s.trace("freeze %s for %s, clock stopped %v", p.name, d, clockToo)
	p.frozen = true
	life := p.life
	s.After(d, func() {
		if p.life != life || !p.alive {
			return
		}
		if clockToo {
			p.behind += d
			s.After(clockCorrected, func() {
				if p.life == life && p.behind > core.ClockTolerance {
					p.behind = 0
				}
			})
		}
		p.frozen = false
		waiting := p.waiting
		p.waiting = nil
		for _, f := range waiting {
			p.do(life, f)
		}
	})
}

func (p *Proxy) perform(actions []core.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case core.SendExchange:
			p.exchange(a)
		case core.SendBorrow:
			p.borrow(a)
		case core.SendProbe:
			p.probe(a)
		case core.StoreAssignment:
			p.store(a)
		}
	}
}

func (s *Sim) byAddress(a netip.AddrPort) *Proxy {
	for _, p := range s.proxies {
		if p.address() == a {
			return p
		}
	}
	return nil
}
