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

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
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
		// EndsToCondemn is from how many ends of servers on work is refused; zero for as
		// many as the operators have agreed on.
		EndsToCondemn int
		// Off lists the mechanisms that are not used.
		Off []Mechanism
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
		// Quota is what is allowed beyond the limits of client accounts.
		Quota ratelimit.Allowance
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
		config Config
		placer placer
		off    map[Mechanism]bool
		// bySpeed is set if servers' speed is reckoned with: asked for each server of
		// each choice, where a look-up by name would show.
		bySpeed  bool
		random   *rand.Rand
		table    *routing.Table
		splitter *routing.Splitter
		// allowed are the regions of each route, by its name.
		allowed map[string]regionSet
		// leastUrgent is the priority of each service's least urgent requests.
		leastUrgent map[string]int
		limits      *limits
		bound       bound
		servers     map[string]*server
		services    map[string]*service
		// evacuated failure domains take no requests.
		evacuated map[string]bool
		proxies   []Proxy
		// sharers are the proxies among which limits are divided: those that are
		// alive and those that may be.
		sharers []sharer
		// neighbours counts those of them in this region, this proxy included.
		neighbours int
		distance   map[string]*distance
		// regions are all that there are, in order; stranded tells of each whether
		// its callers are elsewhere.
		regions  []string
		stranded map[string]*stranding
		// doubtUntil is how long proxies that are not listed may be alive.
		doubtUntil time.Time
		// leaving is set once the process stops; end is when the last request
		// must have its result then.
		leaving bool
		end     time.Time
		// ranks caches this proxy's rank at the servers of a failure domain, until the
		// sharers change.
		ranks map[string]backpressure.Rank
		// gates are those that this proxy owns, by server; grants are what the last
		// tick has granted there.
		gates  map[string]*gate
		grants []Reply
		// quarantine knows the work that ends servers. ownPlace is this proxy's place
		// among the sharers.
		quarantine *quarantine.Ledger
		// signals are what servers ask of their senders.
		signals  *backpressure.Ledger
		ownPlace int
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
		ranks:     make(map[string]backpressure.Rank),
		gates:     make(map[string]*gate),
		off:       make(map[Mechanism]bool),
		regions:   regionsOf(c.RegionOf),
		stranded:  make(map[string]*stranding),

		quarantine: quarantine.NewLedger(), signals: backpressure.NewLedger(),
	}
	k.limits = newLimits(k)
	k.quarantine.Observe, k.quarantine.Rank = k.observeWork, k.trialRank
	k.signals.Observe = k.observeSignal
	if c.EndsToCondemn > 0 {
		k.quarantine.Condemn = c.EndsToCondemn
	}
	for _, m := range c.Off {
		k.off[m] = true
	}
	k.bySpeed = k.on(MechanismSpeed)
	for _, region := range k.regions {
		k.stranded[region] = &stranding{}
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

// Name is this proxy's name.
func (k *Kernel) Name() string { return k.config.Name }

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
	k.record(Call{Do: callTable, Table: t, Accounts: t.Accounts.All()})
	k.table = t
	k.allowed = make(map[string]regionSet, len(t.Routes))
	for name, r := range t.Routes {
		k.allowed[name] = k.regionSet(r.Regions)
	}
	k.leastUrgent = leastUrgentOf(t)
	k.setBound(t)
	k.splitter.Prune(t)
	for _, g := range k.services {
		g.forgetWork(t)
	}
	k.config.Observe(Event{Kind: EventTable, Version: t.Version})
	return true
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
