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
	// TickInterval is how often a driver calls Tick.
	TickInterval = 50 * time.Millisecond
	// ClockTolerance is how far a driver's clock may lag before it catches up.
	// A smaller jump must not happen: it would age the admissions of the last
	// window, and only a jump that counts as a freeze fences the quota.
	ClockTolerance = freezeThreshold
	// freezeThreshold without a tick means that the process did not run.
	freezeThreshold = 2 * time.Second
	// assignmentSettleTime without a change of the assignment a proxy takes a second
	// slot, or one of another region.
	assignmentSettleTime = 3 * time.Second
	// joinTimeout is how long a proxy without quota stays out of look-ups.
	joinTimeout = 15 * time.Second
	// forgetInterval is how often members that nobody renews are looked for.
	forgetInterval = time.Minute
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
		// OnEvent sees every event; nil for none.
		OnEvent func(Event)
		// Faults takes guards out, for tests that show what they are for.
		Faults InjectedFaults
	}

	// InjectedFaults names guards that a test takes out to show that the
	// invariant they protect is watched.
	InjectedFaults struct {
		TokenReuse        bool
		LoanCountedTwice  bool
		ShiftUncapped     bool
		BundleRollback    bool
		LeavingServerUsed bool
		FenceDisabled     bool
		QuotaDisabled     bool
	}

	// Executor runs a function with a kernel, one at a time.
	Executor func(func(k *Kernel, now time.Time))

	// Kernel is one proxy's state and decisions.
	Kernel struct {
		config       Config
		random       *rand.Rand
		clock        peer.Clock
		events       *RingBuffer[Event]
		members      *peer.Members
		tokenRecords *caller.Records

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

		candidateCache    map[string][]candidate
		candidatesBuiltAt time.Time
		candidatesDigest  uint64

		requests   Slab[inFlightRequest]
		lastSerial uint64
		inFlight   int

		startedAt           time.Time
		lastTick            time.Time
		nextExchange        time.Time
		nextStore           time.Time
		nextForget          time.Time
		nextPlan            time.Time
		assignmentChangedAt time.Time
		gossipTargets       map[string]bool
		fenced              bool
		fencedAt            time.Time
		stopping            bool
		releasingOne        bool
		// releasingAll means that a stop has come to its end and all slots go back.
		// It must not be read off the requests in flight: a stopping proxy may hold
		// none for a moment and still has callers to serve.
		releasingAll     bool
		releaseStartedAt time.Time
		// sharesBundle is the settled bundle that the own shares follow.
		sharesBundle       uint64
		ownedSlots         []int
		stopStartedAt      time.Time
		capsChangedAt      time.Time
		rowsAdopted        bool
		lastSeedExchange   time.Time
		borrowBlockedUntil map[peer.Resource]time.Time
		// quarantine knows the work that ends servers; starts names the present starts
		// of servers at which exchanges broke.
		quarantine   *quarantine.Ledger
		incarnations map[string]quarantine.Server
		// backpressure are what servers ask of their senders.
		backpressure *backpressure.Ledger
	}

	service struct {
		operator.Service
		servers     []*backend.Server
		byRegion    [][]*backend.Server
		picker      *backend.Picker
		retryBudget backend.RetryBudget
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
		rejected rateMeter
	}
)

// New makes a kernel that knows nothing but its own process.
func New(c Config, now time.Time) *Kernel {
	if c.MaxInFlight == 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	c.Self.State = peer.Joining
	k := &Kernel{
		config:             c,
		random:             rand.New(rand.NewChaCha8(c.Seed)),
		events:             NewRingBuffer[Event](eventLogSize),
		members:            peer.NewMembers(c.Self, now),
		tokenRecords:       caller.NewRecords(c.Self.Minter(), c.TokenKey),
		startedAt:          now,
		lastTick:           now,
		gossipTargets:      make(map[string]bool),
		borrowBlockedUntil: make(map[peer.Resource]time.Time),

		quarantine:   quarantine.NewLedger(),
		incarnations: make(map[string]quarantine.Server),
		backpressure: backpressure.NewLedger(),
	}
	k.quarantine.Observe, k.quarantine.Rank = k.logWorkChange, k.trialRank
	k.backpressure.Observe = k.logSignalChange
	return k
}

// Tick does what is due and returns the actions for the driver.
func (k *Kernel) Tick(now time.Time) []Action {
	k.detectFreeze(now)
	k.lastTick = now
	var actions []Action
	k.tokenRecords.Expire(now)
	if !now.Before(k.nextForget) {
		k.nextForget = now.Add(forgetInterval)
		k.members.Forget(now)
	}
	if k.bundle != nil {
		k.joinIfReady(now)
		k.applyLeaving(now)
		if k.members.Self().State != peer.Joining {
			k.advanceShifts(now)
		}
		actions = k.borrowQuota(now, actions)
		actions = k.probeServers(now, actions)
		actions = k.probeSuspectServers(actions)
		k.propagateSuspicions(now)
		k.backpressure.Tick(now)
	}
	actions = k.sendExchanges(now, actions)
	actions = k.proposeAssignment(now, actions)
	k.checkInvariants(now)
	return actions
}

// joinIfReady lets look-ups name this proxy once it has quota of its own, or when
// none has come for long: loans may still carry it.
func (k *Kernel) joinIfReady(now time.Time) {
	if k.members.Self().State != peer.Joining {
		return
	}
	quota := 0
	for _, r := range k.regions {
		quota += r.quota.Base(now)
	}
	ready := quota > 0 && (k.rowsAdopted || !k.hasServingPeer())
	if !ready && now.Sub(k.startedAt) < joinTimeout {
		return
	}
	k.members.UpdateSelf(now, func(m *peer.Member) { m.State = peer.Live })
	k.scheduleGossip(now)
}

// hasServingPeer reports whether a live peer is known, whose rows to begin with.
func (k *Kernel) hasServingPeer() bool {
	for _, m := range k.members.Serving() {
		if m.Name != k.config.Self.Name {
			return true
		}
	}
	return false
}

// detectFreeze fences the own quota after a pause in which this process did
// not run. Meanwhile the platform may have dropped the VM and another proxy
// may hold its slots; used here too, the region's capacity would be exceeded.
// The fence lifts when a peer or the platform has been heard after the pause,
// for their news of the assignment comes first.
func (k *Kernel) detectFreeze(now time.Time) {
	if now.Sub(k.lastTick) < freezeThreshold || k.fenced || k.config.Faults.FenceDisabled {
		return
	}
	k.fenced = true
	k.fencedAt = now
	k.nextExchange = now
	k.log(now, Event{Kind: EventFenced, Detail: now.Sub(k.lastTick).Round(time.Millisecond).String()})
}

// maybeLiftFence lifts the fence if what was heard was asked for after the pause.
// An answer from before may have waited in a socket meanwhile.
//
// The fence lasts one window at the least: if not the process but only its
// clock jumped, what it admitted just before still counts.
func (k *Kernel) maybeLiftFence(now, asked time.Time) {
	if !asked.Before(k.fencedAt) && now.Sub(k.fencedAt) >= peer.WindowSpan {
		k.fenced = false
	}
}

// mayUseQuota is false while fenced, and also between a pause and the first
// tick after it, when a request may come before the tick.
func (k *Kernel) mayUseQuota(now time.Time) bool {
	return !k.fenced && now.Sub(k.lastTick) < freezeThreshold || k.config.Faults.FenceDisabled
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

// homeRegion is the region that a client's requests count for.
func (k *Kernel) homeRegion(client netip.Addr) int {
	if k.prefixes != nil {
		site := k.prefixes.Lookup(client)
		if int(site) < len(k.regions) {
			return int(site)
		}
	}
	return max(0, k.regionIndex(k.config.Self.Region))
}
