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
		// Net holds the one-way delays of the network.
		Net Delays
		// ServiceTime is the mean service time; that of each request is between half and one and a
		// half times the mean.
		ServiceTime       time.Duration
		QueueLength       int
		ReportLag         time.Duration
		ColdStartFactor   float64
		ColdStartDuration time.Duration
		// VMListLag is the delay until a change appears in the platform's list of VMs.
		VMListLag time.Duration
		// Load is the request rate of each home region, in requests per second.
		Load []float64
		// BookingPermille is the share of non-idempotent requests, in thousandths.
		BookingPermille int
		KernelFaults    core.InjectedFaults
		// WarmUp is the time from the start of the run until measuring begins.
		WarmUp time.Duration
		// OnExchange is called for every exchange between proxies, if not nil.
		OnExchange func(request, response peer.Exchange)
	}

	// Delays are one-way delays of the network.
	Delays struct {
		SameDomain, SameRegion, BetweenRegions, Client time.Duration
	}

	// Sim is one simulation run.
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
		// KernelTime is the real time spent in ticks and exchanges of the kernels, without the
		// simulated systems and checks around them.
		KernelTime time.Duration
	}

	// location is a region and a failure domain in it.
	location struct {
		region, domain string
	}
)

// New creates a run with its bundle already stored on the platform.
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
			server := newBackendServer(s, c.Bundle.Services[i].Servers[k])
			s.servers[server.config.Name] = server
		}
	}
	s.Rollout(c.Bundle)
	for i := range c.Proxies {
		s.addProxy(i)
	}
	s.callers = newCallers(s)
	return s
}

// Run advances the run by a span of virtual time.
func (s *Sim) Run(d time.Duration) { s.RunUntil(s.now.Add(d)) }

// Checks returns the violations and measurements of the run.
func (s *Sim) Checks() *Checks { return s.checks }

// Callers returns the callers with the results they received.
func (s *Sim) Callers() *Callers { return s.callers }

// Rollout signs a bundle with both keys and stores it on the platform, as operators do.
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

// delay returns the network delay between two locations, or false if their regions are partitioned.
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

// SetPartitioned cuts or restores all traffic between two regions.
func (s *Sim) SetPartitioned(a, b string, partitioned bool) {
	s.partitions[[2]string{a, b}] = partitioned
	s.logEvent("partition between %s and %s: %v", a, b, partitioned)
}

// SetRegionDown stops or restarts all backend servers of a region.
func (s *Sim) SetRegionDown(region string, down bool) {
	s.regionsDown[region] = down
	if down {
		s.checks.recordRegionDown(region)
	}
	for _, server := range s.serversInOrder() {
		if server.config.Region == region {
			server.setDown(down)
		}
	}
	s.logEvent("region %s down: %v", region, down)
}

// serversInOrder returns the backend servers in the order of the bundle: the random order of a map
// would make runs with the same seed differ.
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

// PlatformCalls returns the number of calls to the platform so far.
func (s *Sim) PlatformCalls() int { return s.platform.Calls }

// Relays returns the number of proxies that watch the platform.
func (s *Sim) Relays() int {
	relays := 0
	for _, p := range s.proxies {
		if p.alive && p.kernel.IsRelay() {
			relays++
		}
	}
	return relays
}

// FirstRelay returns the index of the first proxy that watches the platform.
func (s *Sim) FirstRelay() int {
	for i, p := range s.proxies {
		if p.alive && p.kernel.IsRelay() {
			return i
		}
	}
	return 0
}

// Envelope returns the signed bundle as stored on the platform.
func (s *Sim) Envelope() []byte { return s.platform.values[keyBundle].Data }

// AssignmentBytes returns the size of the stored assignment.
func (s *Sim) AssignmentBytes() int { return len(s.platform.values[keyAssignment].Data) }
