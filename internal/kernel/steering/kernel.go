// Package steering is the state machine of a proxy on the platform: from the
// configuration in force, the registered backend servers, the proxies alive
// and what its own requests taught it, it decides where each request goes,
// what follows from how an attempt ended, and when to refuse.
//
// It does no I/O and reads no clock; two kernels live in one process.
package steering

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

type (
	// Config is what a kernel is made of.
	Config struct {
		Name   string
		Domain string
		Region string
		// Address is where callers reach this proxy.
		Address netip.AddrPort
		// RegionOf tells the region of each failure domain.
		RegionOf map[string]string
		Bounds
		// Joined is when this proxy started; zero for long ago.
		Joined time.Time
		Seed   [32]byte
		// Placer names a registered placer; empty for the default.
		Placer string
		// Observe sees each decision; nil for none.
		Observe func(Event) `json:"-"`
		// Record sees each call, for a replay; nil for none.
		Record func(Call) `json:"-"`
	}

	// Bounds are the limits that the operators have agreed on.
	Bounds struct {
		// Retry is the shared budget of repeats, for each service.
		Retry RetryBudget
		// ColdFactor and ColdSlack bound what a cold server gets in a second.
		ColdFactor float64
		ColdSlack  float64
	}

	// RetryBudget bounds repeats over all proxies.
	RetryBudget struct {
		Ratio  float64
		Slack  float64
		Window time.Duration
	}

	// Kernel is one proxy's state and decisions. It is not safe for use by
	// several goroutines at once.
	Kernel struct {
		config   Config
		placer   placer
		random   *rand.Rand
		table    *routing.Table
		splitter *routing.Splitter
		// leastUrgent is the priority of each service's least urgent route.
		leastUrgent map[string]int
		servers     map[string]*server
		services    map[string]*service
		// evacuated failure domains take no requests.
		evacuated map[string]bool
		proxies   []Proxy
		// sharers are the proxies among which limits are divided: those that are
		// alive and those that may be.
		sharers  []sharer
		distance map[string]*distance
		// leaving is set once the process stops; end is when the last request
		// must have its result then.
		leaving bool
		end     time.Time
		// coldRanks caches this proxy's rank at the cold servers of a failure
		// domain, until the sharers change.
		coldRanks map[string]int
		// flights counts the requests so far.
		flights uint64
		// weighed sees each server that a choice looks at; nil for none.
		weighed func(Weighed)
	}

	// Proxy is a proxy that is alive, this one included.
	Proxy struct {
		Name   string
		Domain string
		Region string
		// Address is where callers reach it.
		Address netip.AddrPort
		// Leaving proxies still serve but are not named to callers.
		Leaving bool
	}

	service struct {
		name string
		// members are all registered servers, by id; servers those of them
		// that may take requests, in order, unless stale is set.
		members map[string]*server
		servers []*server
		stale   bool
		repeats admission.Repeats
		work    workModel
		homes   map[string]*placing.Homes
		// pressure is how long the queues are, by the servers' region.
		pressure map[string]*admission.Pressure
	}
)

// New makes a kernel that knows no configuration yet.
func New(c Config) *Kernel {
	if c.Placer == "" {
		c.Placer = DefaultPlacer
	}
	if c.Observe == nil {
		c.Observe = func(Event) {}
	}
	k := &Kernel{
		config:    c,
		placer:    placers[c.Placer],
		random:    rand.New(rand.NewChaCha8(c.Seed)),
		splitter:  routing.NewSplitter(),
		servers:   make(map[string]*server),
		services:  make(map[string]*service),
		evacuated: make(map[string]bool),
		distance:  make(map[string]*distance),
		coldRanks: make(map[string]int),
	}
	k.setProxies(time.Time{}, nil)
	k.record(Call{Do: callStart, Config: &c})
	return k
}

// SetBounds brings other limits into force; what was counted stands.
func (k *Kernel) SetBounds(b Bounds) {
	k.record(Call{Do: callBounds, Bounds: &b})
	k.config.Bounds = b
	for _, g := range k.services {
		g.repeats.Ratio, g.repeats.Slack = b.Retry.Ratio, b.Retry.Slack
	}
}

// Version is the version in force, zero for none.
func (k *Kernel) Version() uint64 {
	if k.table == nil {
		return 0
	}
	return k.table.Version
}

// Table is the configuration in force, nil for none; it must not be changed.
func (k *Kernel) Table() *routing.Table { return k.table }

// SetTable brings a configuration into force. An older one than that in force
// is refused, whoever sent it: a stale read must not take a change back.
func (k *Kernel) SetTable(t *routing.Table) bool {
	if k.table != nil && t.Version <= k.table.Version {
		return false
	}
	k.record(Call{Do: callTable, Table: t})
	k.table = t
	k.leastUrgent = leastUrgentOf(t)
	k.splitter.Forget(t)
	k.config.Observe(Event{Kind: EventTable, Version: t.Version})
	return true
}

// SetServer takes in a server's registration.
func (k *Kernel) SetServer(now time.Time, r routing.Server) {
	k.record(Call{Do: callServer, At: now, Server: &r})
	s := k.servers[r.ID]
	if s == nil {
		s = &server{id: r.ID, speed: 1}
		k.servers[r.ID] = s
	}
	moved := s.Service != r.Service || s.Slots != r.Slots || s.Draining != r.Draining || s.Domain != r.Domain
	if moved {
		k.service(s.Service).drop(s)
		k.service(r.Service).add(s)
	}
	s.Server = r
	s.absentUntil = time.Time{}
	s.region = k.config.RegionOf[r.Domain]
	s.domain = k.distanceTo(r.Domain)
	if r.ColdFor > 0 {
		s.coldUntil = later(s.coldUntil, now.Add(r.ColdFor))
	}
	if moved {
		k.config.Observe(Event{Kind: EventServer, Server: r.ID, Service: r.Service, Draining: r.Draining})
	}
}

// RemoveServer forgets a server that has left.
func (k *Kernel) RemoveServer(id string) {
	k.record(Call{Do: callRemove, ID: id})
	k.remove(id)
}

func (k *Kernel) remove(id string) {
	s := k.servers[id]
	if s == nil {
		return
	}
	s.gone = true
	delete(k.servers, id)
	k.service(s.Service).drop(s)
	k.config.Observe(Event{Kind: EventServerGone, Server: id, Service: s.Service})
}

// ServerAbsent notes that a server's registration is missing. If it has not
// come back by a moment, the server is gone.
func (k *Kernel) ServerAbsent(id string, until time.Time) {
	k.record(Call{Do: callAbsent, ID: id, Until: until})
	if s := k.servers[id]; s != nil && s.absentUntil.IsZero() {
		s.absentUntil = until
	}
}

// Tick drops servers whose registration has not come back, and what else has
// run out.
func (k *Kernel) Tick(now time.Time) {
	k.record(Call{Do: callTick, At: now})
	k.forget(now)
	for id, s := range k.servers {
		if !s.absentUntil.IsZero() && now.After(s.absentUntil) {
			k.remove(id)
		}
	}
}

// Servers lists the ids of all registered servers.
func (k *Kernel) Servers() []string {
	ids := make([]string, 0, len(k.servers))
	for id := range k.servers {
		ids = append(ids, id)
	}
	return ids
}

// Unmeasured names one server in each failure domain to which no round trip
// was measured yet.
func (k *Kernel) Unmeasured() []routing.Server {
	var list []routing.Server
	for domain, d := range k.distance {
		if d.measured {
			continue
		}
		for _, s := range k.servers {
			if s.Domain == domain && !s.Draining && !s.gone {
				list = append(list, s.Server)
				break
			}
		}
	}
	return list
}

// Measured takes in a round trip to a failure domain.
func (k *Kernel) Measured(domain string, roundTrip time.Duration) {
	k.record(Call{Do: callMeasured, Domain: domain, Took: roundTrip})
	k.distanceTo(domain).heard(roundTrip)
}

// SetEvacuated marks a failure domain whose servers must get nothing, or takes
// the mark back. Servers that come back got nothing for a while and are taken
// for cold, whatever their last registration says.
func (k *Kernel) SetEvacuated(now time.Time, domain string, evacuated bool) {
	if k.evacuated[domain] == evacuated {
		return
	}
	k.record(Call{Do: callEvacuated, At: now, Domain: domain, On: evacuated})
	if evacuated {
		k.evacuated[domain] = true
	} else {
		delete(k.evacuated, domain)
		for _, s := range k.servers {
			if s.Domain == domain {
				s.coldUntil = later(s.coldUntil, now.Add(k.coldStart(s.Service)))
			}
		}
	}
	for _, g := range k.services {
		g.stale = true
	}
	k.config.Observe(Event{Kind: EventEvacuated, Domain: domain, Draining: evacuated})
}

// Evacuated lists the evacuated failure domains.
func (k *Kernel) Evacuated() []string {
	list := make([]string, 0, len(k.evacuated))
	for domain := range k.evacuated {
		list = append(list, domain)
	}
	return list
}

// Leave marks this proxy as leaving. Requests that begin from now on get their
// final result by end: a server that hangs would else hold them until the
// process is gone, and their callers would see a connection that closes.
func (k *Kernel) Leave(end time.Time) {
	k.record(Call{Do: callLeave, Until: end})
	for i := range k.proxies {
		if k.proxies[i].Name == k.config.Name {
			k.proxies[i].Leaving = true
		}
	}
	k.leaving, k.end = true, end
}

// SetProxies tells which proxies are alive. This one always is.
func (k *Kernel) SetProxies(now time.Time, list []Proxy) {
	k.record(Call{Do: callProxies, At: now, Proxies: list})
	k.setProxies(now, list)
}

func (k *Kernel) setProxies(now time.Time, list []Proxy) {
	self := Proxy{Name: k.config.Name, Domain: k.config.Domain, Region: k.config.Region, Address: k.config.Address, Leaving: k.leaving}
	list = slices.DeleteFunc(slices.Clone(list), func(p Proxy) bool { return p.Name == self.Name })
	k.proxies = append(list, self)
	slices.SortFunc(k.proxies, func(a, b Proxy) int { return strings.Compare(a.Name, b.Name) })
	k.share(now, k.proxies)
}

func (k *Kernel) coldStart(service string) time.Duration {
	if k.table == nil || k.table.Services[service] == nil {
		return 0
	}
	return k.table.Services[service].ColdStart
}

// group is a service with the servers that may take its requests. They are
// listed anew when next asked for and not at each change: a proxy that starts
// hears of thousands of servers at once. Other services keep their lists and
// homes: to deal out the objects of 1,000 servers takes tens of milliseconds.
func (k *Kernel) group(name string) *service {
	g := k.service(name)
	if g.stale {
		g.list(k.evacuated)
	}
	return g
}

func (g *service) add(s *server) {
	g.members[s.id] = s
	g.stale = true
}

func (g *service) drop(s *server) {
	if g.members[s.id] != nil {
		delete(g.members, s.id)
		g.stale = true
	}
}

// list lists the servers that may take requests anew after changes.
func (g *service) list(evacuated map[string]bool) {
	g.stale = false
	g.servers = g.servers[:0]
	clear(g.homes)
	for _, s := range g.members {
		if !s.Draining && !s.gone && !evacuated[s.Domain] {
			g.servers = append(g.servers, s)
		}
	}
	slices.SortFunc(g.servers, func(a, b *server) int { return strings.Compare(a.id, b.id) })
}

func (k *Kernel) service(name string) *service {
	s := k.services[name]
	if s == nil {
		s = &service{
			name: name, homes: make(map[string]*placing.Homes), members: make(map[string]*server),
			pressure: make(map[string]*admission.Pressure),
			repeats: admission.Repeats{
				Ratio: k.config.Retry.Ratio, Slack: k.config.Retry.Slack, Window: k.config.Retry.Window,
			},
		}
		k.services[name] = s
	}
	return s
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
