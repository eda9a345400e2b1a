package simnet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

type (
	// Config describes one run.
	Config struct {
		Bundle   *operator.Bundle
		Author   *operator.KeyPair
		Approver *operator.KeyPair
		Proxies  int
		Seed     uint64
		// Net holds one-way delays.
		Net Delays
		// ServiceTime is the mean; each request's varies by half either way.
		ServiceTime       time.Duration
		QueueLength       int
		ReportLag         time.Duration
		ColdStartFactor   float64
		ColdStartDuration time.Duration
		// MachineListLag is how far the platform's list of VMs lags.
		MachineListLag time.Duration
		// Load is requests per second by home region.
		Load []float64
		// BookingPermille of the requests are non-idempotent, in thousandths.
		BookingPermille int
		KernelFaults    core.InjectedFaults
		// WarmUp is how long after the start measuring begins.
		WarmUp time.Duration
		// OnExchange sees every exchange between proxies; nil for none.
		OnExchange func(asked, answer peer.Exchange)
	}

	// Delays are one-way delays of the network.
	Delays struct {
		SameDomain, SameRegion, BetweenRegions, Client time.Duration
	}

	// Sim is one run.
	Sim struct {
		*Clock
		config        Config
		random        *rand.Rand
		trust         operator.TrustedKeys
		proxies       []*Proxy
		servers       map[string]*BackendServer
		platform      *Platform
		partitions    map[[2]string]bool
		regionsDown   map[string]bool
		callers       *Callers
		checks        *Checks
		currentBundle *operator.Bundle
		lastID        uint64
		// KernelTime is the real time spent in the kernels' own work, ticks and
		// exchanges, without the fakes and checks around them.
		KernelTime time.Duration
	}

	location struct {
		region, domain string
	}
)

// New builds a run whose bundle is already on the platform.
func New(c Config) *Sim {
	s := &Sim{
		Clock:       newClock(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)),
		config:      c,
		random:      rand.New(rand.NewPCG(c.Seed, 1)),
		trust:       operator.TrustedKeys{c.Author.TrustedKey(), c.Approver.TrustedKey()},
		servers:     make(map[string]*BackendServer),
		partitions:  make(map[[2]string]bool),
		regionsDown: make(map[string]bool),
	}
	s.checks = newChecks(s)
	s.platform = newPlatform(s)
	for i := range c.Bundle.Services {
		for k := range c.Bundle.Services[i].Servers {
			w := newBackendServer(s, c.Bundle.Services[i].Servers[k])
			s.servers[w.config.Name] = w
		}
	}
	s.Rollout(c.Bundle)
	for i := range c.Proxies {
		s.addProxy(i)
	}
	s.callers = newCallers(s)
	return s
}

// Run goes on for a span of virtual time.
func (s *Sim) Run(d time.Duration) { s.RunUntil(s.now.Add(d)) }

// Checks gives what the run has asserted and measured.
func (s *Sim) Checks() *Checks { return s.checks }

// Callers gives what callers saw.
func (s *Sim) Callers() *Callers { return s.callers }

// Rollout signs a bundle and stores it on the platform as operators do.
func (s *Sim) Rollout(b *operator.Bundle) {
	e, err := s.config.Author.Propose(b)
	if err == nil {
		err = s.config.Approver.Approve(e)
	}
	if err != nil {
		panic("simnet: " + err.Error())
	}
	s.currentBundle = b
	s.checks.recordRollout(b)
	s.platform.put(keyBundle, e.Encode())
}

// delay is the network's delay between two places, or false when cut.
func (s *Sim) delay(a, b location) (time.Duration, bool) {
	if s.partitions[[2]string{a.region, b.region}] || s.partitions[[2]string{b.region, a.region}] {
		return 0, false
	}
	base := s.config.Net.BetweenRegions
	switch {
	case a.domain == b.domain:
		base = s.config.Net.SameDomain
	case a.region == b.region:
		base = s.config.Net.SameRegion
	}
	return base + time.Duration(s.random.Int64N(int64(base)/10+1)), true
}

// SetPartitioned ends or restores all traffic between two regions.
func (s *Sim) SetPartitioned(a, b string, on bool) {
	s.partitions[[2]string{a, b}] = on
	s.logEvent("cut %s %s %v", a, b, on)
}

// SetRegionDown stops or restarts all backend servers of a region.
func (s *Sim) SetRegionDown(name string, on bool) {
	s.regionsDown[name] = on
	if on {
		s.checks.recordRegionDown(name)
	}
	for _, w := range s.serversInOrder() {
		if w.config.Region == name {
			w.setDown(on)
		}
	}
	s.logEvent("region %s lost %v", name, on)
}

// serversInOrder lists the backend servers in the bundle's order, for a
// map's order would make runs differ.
func (s *Sim) serversInOrder() []*BackendServer {
	var list []*BackendServer
	for i := range s.config.Bundle.Services {
		for k := range s.config.Bundle.Services[i].Servers {
			list = append(list, s.servers[s.config.Bundle.Services[i].Servers[k].Name])
		}
	}
	return list
}

func (s *Sim) logEvent(format string, values ...any) {
	s.checks.logEvent(fmt.Sprintf(format, values...))
}

// PlatformCalls counts calls to the platform so far.
func (s *Sim) PlatformCalls() int { return s.platform.Calls }

// Relays counts the proxies that watch the platform.
func (s *Sim) Relays() int {
	relays := 0
	for _, p := range s.proxies {
		if p.alive && p.kernel.IsRelay() {
			relays++
		}
	}
	return relays
}

// FirstRelay is the number of the first proxy that watches the platform.
func (s *Sim) FirstRelay() int {
	for i, p := range s.proxies {
		if p.alive && p.kernel.IsRelay() {
			return i
		}
	}
	return 0
}

// Envelope is the signed bundle on the platform.
func (s *Sim) Envelope() []byte { return s.platform.values[keyBundle].Data }

// AssignmentBytes is the size of the stored assignment.
func (s *Sim) AssignmentBytes() int { return len(s.platform.values[keyAssignment].Data) }
