// Package steering implements the routing decisions of one proxy as a deterministic state machine.
// From the active configuration, the registered backend servers, the live proxies and the results
// of its own requests, it decides which server gets a request, what to do after an attempt, and
// when to reject a request.
//
// It does no I/O and reads no clock: callers pass in the time. One process can hold several
// independent kernels.
package steering

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/directory"
	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
	"github.com/gypsumquay/gypsumquay/internal/kernel/reachability"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/shutdown"
)

type (
	// Config holds the settings of a kernel.
	Config struct {
		Name   string
		Domain string
		Region string
		// Address is the address at which callers reach this proxy.
		Address netip.AddrPort
		// LinkMbps is the bandwidth of this proxy's link in Mbit/s; zero if unknown.
		LinkMbps int
		// RegionOf maps each failure domain to its region.
		RegionOf map[string]string
		Bounds
		// Joined is when this proxy started. The zero value means that its start lies long ago.
		Joined time.Time
		Seed   [32]byte
		// Placer is the name of a registered load-balancing policy. Empty selects DefaultPlacer.
		Placer string
		// EndsToCondemn is the number of server crashes after which a request fingerprint is
		// quarantined. Zero selects the default agreed with the operators.
		EndsToCondemn int
		// Off lists the disabled mechanisms.
		Off []Mechanism
		// Observe is called for each decision. It may be nil.
		Observe func(Event) `json:"-"`
		// Record is called for each call of the kernel so that it can be replayed later. It may be
		// nil.
		Record func(Call) `json:"-"`
	}

	// Bounds are the limits agreed with the operators.
	Bounds struct {
		// Retry is the retry budget of each service, shared by all proxies.
		Retry RetryBudget
		// ColdFactor and ColdSlack bound the requests per second to a cold server.
		ColdFactor float64
		ColdSlack  float64
		// Quota is the overage allowed beyond the rate limits of client accounts.
		Quota ratelimit.Overage
	}

	// RetryBudget limits the retries of all proxies together.
	RetryBudget struct {
		Ratio  float64
		Slack  float64
		Window time.Duration
	}

	// Kernel holds the state of one proxy and makes its decisions. It is not safe for concurrent
	// use.
	Kernel struct {
		config   Config
		placer   placer
		disabled map[Mechanism]bool
		// useSlowdown caches whether MechanismServerSpeed is enabled. It is read for each server of
		// each choice, where a map lookup by name would cost noticeable time.
		useSlowdown bool
		random      *rand.Rand
		table       *routing.Table
		splitter    *routing.Splitter
		// routeRegions are the regions allowed for each route, by route name.
		routeRegions map[string]regionSet
		// lowestPriority is the priority of the least urgent requests of each service.
		lowestPriority map[string]int
		// routeGroups divides the sticky routes of each service by priority.
		routeGroups  map[string]*placing.RouteGroups
		quotas       *quotas
		pinnedShares pinnedShares
		// localShares divides the capacity of this region between routes, regionDemands is the
		// measured demand of the regions. placementMoves bounds how many requests they move.
		localShares    placing.LocalShares
		regionDemands  placing.RegionDemand
		placementMoves placing.MoveBudget
		servers        map[string]*server
		// absentServers are the servers whose registration is missing.
		absentServers map[string]*server
		services      map[string]*service
		// evacuatedDomains are the failure domains that take no requests.
		evacuatedDomains map[string]bool
		proxies          []Proxy
		// directory decides which of the proxies lookups return.
		directory *directory.Directory
		// limitSharers are the proxies among which shared limits are divided: those that are alive
		// and those that may still be.
		limitSharers []limitSharer
		listing      listing
		// sharersInRegion counts the limit sharers in this region, including this proxy.
		sharersInRegion int
		// returnedInRegion is Directory.CountReturned for this region, or negative until it is needed.
		returnedInRegion int
		roundTrips       map[string]*rttEstimate
		// regions lists all regions in order. regionStates holds for each region whether its
		// callers are redirected to other regions.
		regions      []string
		regionStates map[string]*regionState
		// ignoreMissingUntil is until when proxies missing from the list may still be alive.
		ignoreMissingUntil time.Time
		// shutdown is the plan of the shutdown in progress, or nil.
		shutdown *shutdown.Plan
		// ranksByDomain caches this proxy's rank at the servers of each failure domain until the
		// limit sharers change.
		ranksByDomain map[string]backpressure.ProxyRank
		// limiters are the concurrency limiters that this proxy owns, by server. pendingSlotReplies
		// are the replies that the last tick produced for waiting requests.
		limiters           map[string]*serverLimiter
		pendingSlotReplies []SlotReply
		// quarantine tracks the request fingerprints that crash servers. ownIndex is this proxy's
		// index among the limit sharers.
		quarantine *quarantine.Tracker
		// backpressure tracks the limits, pauses and drains that servers announce to their clients.
		backpressure *backpressure.Tracker
		ownIndex     int
		// reachability detects that this proxy is cut off from all servers. attemptCount counts the
		// attempts so far.
		reachability reachability.Tracker
		attemptCount uint64
		// handoversTo counts the handovers in progress by proxy. No requests are handed over to
		// unablePeers, and none of unableRoutes, before the given times. refusedHandovers counts, by
		// route, the last ones in a row for which peers found no server.
		handoversTo  map[string]int
		unablePeers  map[string]time.Time
		unableRoutes map[string]time.Time

		refusedHandovers map[string]int
		// replacedInDirectory is set if lookups return other proxies instead of this one because it
		// is cut off.
		replacedInDirectory bool
		// requestCount counts the requests so far.
		requestCount uint64
		// observeCandidate is called for each server that a choice considers. It may be nil.
		observeCandidate func(Candidate)
	}

	// Proxy is a live proxy. This proxy is included in lists of them.
	Proxy = directory.Proxy
)

// newSplitterRandom returns the source of the splitter, which is independent of the kernel's.
func newSplitterRandom(seed [32]byte) *rand.Rand {
	seed[len(seed)-1] ^= 1
	return rand.New(rand.NewChaCha8(seed))
}

// New returns a kernel without a configuration.
func New(c Config) *Kernel {
	if c.Placer == "" {
		c.Placer = DefaultPlacer
	}
	if c.Observe == nil {
		c.Observe = func(Event) {}
	}
	k := &Kernel{
		config:           c,
		placer:           placers[c.Placer],
		random:           rand.New(rand.NewChaCha8(c.Seed)),
		splitter:         routing.NewSplitter(newSplitterRandom(c.Seed)),
		servers:          make(map[string]*server),
		absentServers:    make(map[string]*server),
		services:         make(map[string]*service),
		evacuatedDomains: make(map[string]bool),
		roundTrips:       make(map[string]*rttEstimate),
		ranksByDomain:    make(map[string]backpressure.ProxyRank),
		limiters:         make(map[string]*serverLimiter),
		disabled:         make(map[Mechanism]bool),
		regions:          regionsOf(c.RegionOf),
		regionStates:     make(map[string]*regionState),
		handoversTo:      make(map[string]int),
		unablePeers:      make(map[string]time.Time),
		unableRoutes:     make(map[string]time.Time),
		refusedHandovers: make(map[string]int),

		quarantine: quarantine.NewTracker(), backpressure: backpressure.NewTracker(),
	}
	k.quotas = newQuotas(k)
	k.quarantine.OnEvent, k.quarantine.TrialRank = k.observeQuarantine, k.trialRank
	k.backpressure.OnEvent = k.observeBackpressure
	if c.EndsToCondemn > 0 {
		k.quarantine.Threshold = c.EndsToCondemn
	}
	for _, m := range c.Off {
		k.disabled[m] = true
	}
	k.useSlowdown = k.isEnabled(MechanismServerSpeed)
	for _, region := range k.regions {
		k.regionStates[region] = &regionState{}
	}
	k.setProxies(time.Time{}, nil)
	k.record(Call{Method: callStart, Config: &c})
	return k
}

// SetBounds replaces the bounds. Counters keep their values.
func (k *Kernel) SetBounds(b Bounds) {
	k.record(Call{Method: callBounds, Bounds: &b})
	k.config.Bounds = b
	for _, svc := range k.services {
		svc.retries.Ratio, svc.retries.Slack = b.Retry.Ratio, b.Retry.Slack
	}
}

// Name returns this proxy's name.
func (k *Kernel) Name() string { return k.config.Name }

// Version returns the version of the active configuration, or zero if there is none.
func (k *Kernel) Version() uint64 {
	if k.table == nil {
		return 0
	}
	return k.table.Version
}

// Table returns the active configuration, or nil if there is none. It must not be modified.
func (k *Kernel) Table() *routing.Table { return k.table }

// SetTable activates a configuration and reports whether it did. It ignores versions that are not
// newer than the active one, whatever their source, so that a stale read cannot revert a change.
func (k *Kernel) SetTable(t *routing.Table) bool {
	if k.table != nil && t.Version <= k.table.Version {
		return false
	}
	k.record(Call{Method: callTable, Table: t, Accounts: t.Accounts.All()})
	k.table = t
	k.routeRegions = make(map[string]regionSet, len(t.Routes))
	for name, r := range t.Routes {
		k.routeRegions[name] = k.regionSet(r.Regions)
	}
	k.lowestPriority = t.LowestPriorities()
	k.setRouteGroups(t)
	k.localShares.Prune(func(r placing.ServiceRoute) bool { return t.Routes[r.Route] != nil })
	k.setPinnedTarget(t)
	k.splitter.Prune(t)
	for _, svc := range k.services {
		svc.pruneWork(t)
		if t.Accounts == nil {
			svc.shares = shareTrackers{}
		}
	}
	k.config.Observe(Event{Kind: EventConfigurationInForce, Version: t.Version})
	return true
}

// BeginShutdown marks this proxy as leaving. From now on, requests are sent only if the plan admits
// them.
func (k *Kernel) BeginShutdown(p shutdown.Plan) {
	k.record(Call{Method: callLeave, Shutdown: &p})
	for i := range k.proxies {
		if k.proxies[i].Name == k.config.Name {
			k.proxies[i].Leaving = true
		}
	}
	k.shutdown = &p
	k.resetDirectory()
}

// SetProxies sets the live proxies. This proxy is always one of them.
func (k *Kernel) SetProxies(now time.Time, list []Proxy) {
	k.record(Call{Method: callProxies, At: now, Proxies: list})
	k.setProxies(now, list)
}

func (k *Kernel) setProxies(now time.Time, list []Proxy) {
	self := Proxy{Name: k.config.Name, Domain: k.config.Domain, Region: k.config.Region, Address: k.config.Address, Leaving: k.shutdown != nil, LinkMbps: k.config.LinkMbps}
	if i := slices.IndexFunc(list, func(p Proxy) bool { return p.Name == self.Name }); i >= 0 {
		// The level takes effect once it is published, so that all lookups agree.
		self.Overflow, self.CutOff = list[i].Overflow, list[i].CutOff
	}
	list = slices.DeleteFunc(slices.Clone(list), func(p Proxy) bool { return p.Name == self.Name })
	k.proxies = append(list, self)
	slices.SortFunc(k.proxies, func(a, b Proxy) int { return strings.Compare(a.Name, b.Name) })
	k.resetDirectory()
	k.updateSharers(now, k.proxies)
}

// withoutCutOff marks the proxies that are cut off from all servers as leaving, unless their region
// has no others: callers get their responses sooner from a proxy that need not hand requests over.
func withoutCutOff(proxies []Proxy) []Proxy {
	connected := make(map[string]bool)
	anyCutOff := false
	for _, p := range proxies {
		anyCutOff = anyCutOff || p.CutOff
		connected[p.Region] = connected[p.Region] || !p.CutOff && !p.Leaving
	}
	if !anyCutOff {
		return proxies
	}
	list := slices.Clone(proxies)
	for i := range list {
		list[i].Leaving = list[i].Leaving || list[i].CutOff && connected[list[i].Region]
	}
	return list
}

// resetDirectory applies a change of the proxies to lookups.
func (k *Kernel) resetDirectory() {
	listed := withoutCutOff(k.proxies)
	k.replacedInDirectory = slices.ContainsFunc(listed, func(p Proxy) bool { return p.Name == k.config.Name && p.CutOff && p.Leaving })
	k.directory = directory.New(listed, !k.isEnabled(MechanismWideLinks))
	k.returnedInRegion = -1
}
