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
	peerCallTimeout      = time.Second
	dialTimeout          = time.Second
	platformPollInterval = 2 * time.Second
	clockCorrectionDelay = 3 * time.Second
	stopPollInterval     = 50 * time.Millisecond
	slotReleaseTimeout   = time.Second
	minForwardTimeout    = time.Millisecond
)

type (
	// Proxy is one proxy process: a kernel with a simulated driver that carries out its actions.
	Proxy struct {
		sim         *Sim
		name        string
		index       int
		location    location
		kernel      *core.Kernel
		incarnation int
		alive       bool
		frozen      bool
		// deferred holds the functions that were due while the process was frozen.
		deferred []func()
		// clockLag is how far the clock of the process is behind after freezes that also stopped
		// the clock.
		clockLag           time.Duration
		acceptsConnections bool
		pendingRequests    int
		// openConnections holds, by send ID, the function that breaks the caller's connection.
		openConnections    map[uint64]func()
		watchedRevisions   map[kv.Key]kv.Revision
		machineListVersion uint64
	}

	// request is a caller's request as a proxy handles it.
	request struct {
		core.Request
		sendID  uint64
		key     string
		respond func(caller.Result, string)
	}
)

// addProxy starts proxy number i; each region gets as many proxies as it has quota slots, spread
// over its failure domains, and the last region gets the rest.
func (s *Sim) addProxy(i int) {
	region := 0
	slot := i
	for region < len(s.config.Bundle.Regions)-1 && slot >= s.config.Bundle.Regions[region].QuotaSlots {
		slot -= s.config.Bundle.Regions[region].QuotaSlots
		region++
	}
	r := s.config.Bundle.Regions[region]
	p := &Proxy{
		sim:      s,
		name:     fmt.Sprintf("proxy-%d", i+1),
		index:    i,
		location: location{r.Name, r.Domains[slot%len(r.Domains)]},
	}
	s.proxies = append(s.proxies, p)
	p.start()
}

func (p *Proxy) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 255, byte(p.index >> 8), byte(p.index)}), 1)
}

// incarnationID identifies the current incarnation of the process.
func (p *Proxy) incarnationID() string { return fmt.Sprint(p.name, "/", p.incarnation) }

// start starts a new incarnation with a new kernel.
func (p *Proxy) start() {
	p.incarnation++
	p.alive = true
	p.frozen = false
	p.acceptsConnections = true
	p.clockLag = 0
	p.deferred = nil
	p.pendingRequests = 0
	p.openConnections = make(map[uint64]func())
	p.watchedRevisions = make(map[kv.Key]kv.Revision)
	p.machineListVersion = 0
	c := core.Config{
		Self: peer.Member{
			Name: p.name, Address: p.address(), PeerAddress: p.address(), Region: p.location.region,
			Domain: p.location.domain, Incarnation: uint64(p.sim.now.UnixMilli())<<8 | uint64(p.incarnation),
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
	p.sim.setVMStateNow(p.name)
	p.tick(p.incarnation)
	p.pollPlatform(p.incarnation)
}

func (s *Sim) setVMStateNow(name string) { s.platform.setVMState(name, kv.VMLive) }

// now returns the time by the process's own clock.
func (p *Proxy) now() time.Time { return p.sim.now.Add(-p.clockLag) }

// runInProcess runs a function in the given incarnation of the process: at once, when a frozen
// process resumes, or not at all if that incarnation has ended.
func (p *Proxy) runInProcess(incarnation int, f func()) {
	switch {
	case !p.alive || p.incarnation != incarnation:
	case p.frozen:
		p.deferred = append(p.deferred, f)
	default:
		f()
	}
}

// after schedules a function in the current incarnation of the process.
func (p *Proxy) after(d time.Duration, f func()) {
	incarnation := p.incarnation
	p.sim.After(d, func() { p.runInProcess(incarnation, f) })
}

func (p *Proxy) tick(incarnation int) {
	p.runInProcess(incarnation, func() {
		start := time.Now()
		actions := p.kernel.Tick(p.now())
		p.sim.KernelTime += time.Since(start)
		p.perform(actions)
		p.sim.checks.checkProxyState(p)
		p.after(core.TickInterval, func() { p.tick(incarnation) })
	})
}

// KillProxy ends a process without a graceful shutdown.
func (s *Sim) KillProxy(i int) {
	p := s.proxies[i]
	if !p.alive {
		return
	}
	s.logEvent("kill %s", p.name)
	p.exit()
}

// exit ends the process and breaks the connections to it.
func (p *Proxy) exit() {
	p.alive = false
	p.incarnation++
	ids := make([]uint64, 0, len(p.openConnections))
	for id := range p.openConnections {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		p.openConnections[id]()
	}
	p.sim.SetVMState(p.name, "")
}

// RestartProxy starts a new incarnation on the same VM if the process has ended.
func (s *Sim) RestartProxy(i int) {
	if p := s.proxies[i]; !p.alive {
		s.logEvent("restart %s", p.name)
		p.start()
	}
}

// FreezeProxy suspends a process for a time. If the clock stops too, the process cannot tell that
// it was suspended until its VM's clock is corrected.
func (s *Sim) FreezeProxy(i int, d time.Duration, stopClock bool) {
	p := s.proxies[i]
	if !p.alive || p.frozen {
		return
	}
	s.logEvent("freeze %s for %s, clock stopped %v", p.name, d, stopClock)
	p.frozen = true
	life := p.incarnation
	s.After(d, func() {
		if p.incarnation != life || !p.alive {
			return
		}
		if stopClock {
			p.clockLag += d
			s.After(clockCorrectionDelay, func() {
				if p.incarnation == life && p.clockLag > core.ClockTolerance {
					p.clockLag = 0
				}
			})
		}
		p.frozen = false
		deferred := p.deferred
		p.deferred = nil
		for _, f := range deferred {
			p.runInProcess(life, f)
		}
	})
}

// perform carries out the actions that the kernel returned.
func (p *Proxy) perform(actions []core.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case core.SendExchange:
			p.sendExchange(a)
		case core.SendBorrow:
			p.sendBorrow(a)
		case core.SendProbe:
			p.sendProbe(a)
		case core.StoreAssignment:
			p.storeAssignment(a)
		}
	}
}

func (s *Sim) proxyByAddress(a netip.AddrPort) *Proxy {
	for _, p := range s.proxies {
		if p.address() == a {
			return p
		}
	}
	return nil
}
