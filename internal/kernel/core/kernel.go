package core

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/region"
)

const (
	// TickEvery is how often a driver calls Tick.
	TickEvery = 50 * time.Millisecond
	// ClockTolerance is how far a driver's clock may lag before it catches up.
	// A smaller jump must not happen: it would age the admissions of the last
	// window, and only a jump that counts as a freeze fences the quota.
	ClockTolerance = freezeGap
	// freezeGap without a tick means that the process did not run.
	freezeGap = 2 * time.Second
	// settleAfter without a change of the assignment a proxy takes a second
	// slot, or one of another region.
	settleAfter = 3 * time.Second
	// joinPatience is how long a proxy without quota stays out of look-ups.
	joinPatience = 15 * time.Second
	// forgetEvery is how often members that nobody renews are looked for.
	forgetEvery = time.Minute
	// DefaultMaxInFlight bounds the requests that one proxy holds.
	DefaultMaxInFlight = 4096
)

type (
	// Config is what a kernel is made of. Two kernels made of equal configs
	// and fed the same calls decide alike.
	Config struct {
		Self     peer.Member
		Trust    operator.Trust
		Seed     [32]byte
		TokenKey caller.TokenKey
		// Seeds are peer addresses to ask while no member is known.
		Seeds       []netip.AddrPort
		MaxInFlight int
		// Observe sees every event; nil for none.
		Observe func(Event)
		// Break takes guards out, for tests that show what they are for.
		Break Breakage
	}

	// Breakage names guards that a test takes out to show that the
	// invariant they protect is watched.
	Breakage struct {
		TokenReuse    bool
		LoanDoubled   bool
		ShiftUncapped bool
		BundleRevert  bool
		LeavingServes bool
		FenceOff      bool
		QuotaOff      bool
	}

	// Access runs a function with a kernel, one at a time.
	Access func(func(k *Kernel, now time.Time))

	// Kernel is one proxy's state and decisions.
	Kernel struct {
		config  Config
		random  *rand.Rand
		clock   peer.Clock
		events  *Ring[Event]
		members *peer.Members
		records *caller.Records

		bundle     *operator.Bundle
		quotaSlots int
		envelope   []byte
		assignment *kv.Assignment
		machines   *kv.Machines
		prefixes   *caller.PrefixTable

		services map[string]*service
		regions  []*regionState
		links    map[linkKey]*peer.Quota
		// resources names every quota, in a fixed order.
		resources []resource
		planner   region.Planner

		named     map[string][]candidate
		namedAt   time.Time
		namedView uint64

		flights  Slab[flight]
		serial   uint64
		inFlight int

		started       time.Time
		lastTick      time.Time
		nextExchange  time.Time
		nextStore     time.Time
		nextForget    time.Time
		nextPlan      time.Time
		assignedSince time.Time
		urgent        map[string]bool
		fenced        bool
		fencedAt      time.Time
		stopping      bool
		releasing     bool
		// givingUp means that a stop has come to its end and all slots go back.
		// It must not be read off the requests in flight: a stopping proxy may hold
		// none for a moment and still has callers to serve.
		givingUp       bool
		releasingSince time.Time
		// shareFigures is the settled bundle that the own shares follow.
		shareFigures uint64
		ownedSlots   []int
		stopBegan    time.Time
		capChanged   time.Time
		rowsKnown    bool
		lastSeed     time.Time
		borrowing    map[peer.Resource]time.Time
		// quarantine knows the work that ends servers; starts names the present starts
		// of servers at which exchanges broke.
		quarantine *quarantine.Tracker
		starts     map[string]quarantine.InstanceID
		// signals are what servers ask of their senders.
		signals *backpressure.Tracker
	}

	service struct {
		operator.Service
		servers  []*backend.Server
		byRegion [][]*backend.Server
		picker   *backend.Picker
		budget   backend.Budget
	}

	linkKey struct {
		from, to int
	}

	resource struct {
		name  peer.Resource
		quota *peer.Quota
	}

	regionState struct {
		operator.Region
		quota    peer.Quota
		mover    *region.Mover
		spreader region.Spreader
		servers  []*backend.Server
		lost     bool
		demand   rateMeter
		refused  rateMeter
	}
)

// New makes a kernel that knows nothing but its own process.
func New(c Config, now time.Time) *Kernel {
	if c.MaxInFlight == 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	c.Self.State = peer.Joining
	k := &Kernel{
		config:    c,
		random:    rand.New(rand.NewChaCha8(c.Seed)),
		events:    NewRing[Event](eventRing),
		members:   peer.NewMembers(c.Self, now),
		records:   caller.NewRecords(c.Self.Minter(), c.TokenKey),
		started:   now,
		lastTick:  now,
		urgent:    make(map[string]bool),
		borrowing: make(map[peer.Resource]time.Time),

		quarantine: quarantine.NewTracker(),
		starts:     make(map[string]quarantine.InstanceID),
		signals:    backpressure.NewTracker(),
	}
	k.quarantine.OnEvent, k.quarantine.TrialRank = k.observeWork, k.trialRank
	k.signals.OnEvent = k.observeSignal
	return k
}

// Tick does what is due and returns the actions for the driver.
func (k *Kernel) Tick(now time.Time) []Action {
	k.noticeFreeze(now)
	k.lastTick = now
	var actions []Action
	k.records.Expire(now)
	if !now.Before(k.nextForget) {
		k.nextForget = now.Add(forgetEvery)
		k.members.Forget(now)
	}
	if k.bundle != nil {
		k.join(now)
		k.applyLeaving(now)
		if k.members.Self().State != peer.Joining {
			k.plan(now)
		}
		actions = k.borrow(now, actions)
		actions = k.probe(now, actions)
		actions = k.probeDoubted(actions)
		k.followSuspicions(now)
		k.signals.Tick(now)
	}
	actions = k.exchange(now, actions)
	actions = k.store(now, actions)
	k.checkInvariants(now)
	return actions
}

// join lets look-ups name this proxy once it has quota of its own, or when
// none has come for long: loans may still carry it.
func (k *Kernel) join(now time.Time) {
	if k.members.Self().State != peer.Joining {
		return
	}
	quota := 0
	for _, r := range k.regions {
		quota += r.quota.Base(now)
	}
	ready := quota > 0 && (k.rowsKnown || !k.othersServe())
	if !ready && now.Sub(k.started) < joinPatience {
		return
	}
	k.members.UpdateSelf(now, func(m *peer.Member) { m.State = peer.Live })
	k.spreadNews(now)
}

// othersServe reports whether a live peer is known, whose rows to begin with.
func (k *Kernel) othersServe() bool {
	for _, m := range k.members.Serving() {
		if m.Name != k.config.Self.Name {
			return true
		}
	}
	return false
}

// noticeFreeze fences the own quota after a pause in which this process did
// not run. Meanwhile the platform may have dropped the VM and another proxy
// may hold its slots; used here too, the region's capacity would be exceeded.
// The fence lifts when a peer or the platform has been heard after the pause,
// for their news of the assignment comes first.
func (k *Kernel) noticeFreeze(now time.Time) {
	if now.Sub(k.lastTick) < freezeGap || k.fenced || k.config.Break.FenceOff {
		return
	}
	k.fenced = true
	k.fencedAt = now
	k.nextExchange = now
	k.log(now, Event{Kind: EventFenced, Detail: now.Sub(k.lastTick).Round(time.Millisecond).String()})
}

// heardAnyone lifts the fence if what was heard was asked for after the pause.
// An answer from before may have waited in a socket meanwhile.
//
// The fence lasts one window at the least: if not the process but only its
// clock jumped, what it admitted just before still counts.
func (k *Kernel) heardAnyone(now, asked time.Time) {
	if !asked.Before(k.fencedAt) && now.Sub(k.fencedAt) >= peer.WindowSpan {
		k.fenced = false
	}
}

// mayUseQuota is false while fenced, and also between a pause and the first
// tick after it, when a request may come before the tick.
func (k *Kernel) mayUseQuota(now time.Time) bool {
	return !k.fenced && now.Sub(k.lastTick) < freezeGap || k.config.Break.FenceOff
}

// Self is the own member record.
func (k *Kernel) Self() peer.Member { return k.members.Self() }

// Members lists all known proxies.
func (k *Kernel) Members() []peer.Member { return k.members.All() }

// BundleVersion is the version in force here, zero for none.
func (k *Kernel) BundleVersion() uint64 {
	if k.bundle == nil {
		return 0
	}
	return k.bundle.Version
}

// Bundle is the bundle in force here; callers must not change it.
func (k *Kernel) Bundle() *operator.Bundle { return k.bundle }

// Envelope is the signed form of the bundle in force.
func (k *Kernel) Envelope() []byte { return k.envelope }

func (k *Kernel) holder() kv.Holder {
	return kv.Holder{Name: k.config.Self.Name, Incarnation: k.config.Self.Incarnation}
}

func (k *Kernel) regionIndex(name string) int {
	for i, r := range k.regions {
		if r.Name == name {
			return i
		}
	}
	return -1
}

// home is the region that a client's requests count for.
func (k *Kernel) home(client netip.Addr) int {
	if k.prefixes != nil {
		site := k.prefixes.Lookup(client)
		if int(site) < len(k.regions) {
			return int(site)
		}
	}
	return max(0, k.regionIndex(k.config.Self.Region))
}
