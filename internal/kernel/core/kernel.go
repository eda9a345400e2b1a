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
	// ClockTolerance is how far a driver's clock may lag before it is corrected. A smaller jump
	// must not happen: it would age the admissions of the last window, and only a jump that counts
	// as a freeze fences the quota.
	ClockTolerance = freezeThreshold
	// freezeThreshold is the time without a tick after which the process is considered to have been
	// frozen.
	freezeThreshold = 2 * time.Second
	// assignmentSettleTime is the time without a change of the assignment after which a proxy
	// claims a second slot, or a slot of another region.
	assignmentSettleTime = 3 * time.Second
	// joinTimeout is how long a proxy without quota is excluded from lookups.
	joinTimeout = 15 * time.Second
	// forgetInterval is how often expired member records are removed.
	forgetInterval = time.Minute
	// DefaultMaxInFlight is the default limit of requests in flight per proxy.
	DefaultMaxInFlight = 4096
)

type (
	// Config configures a kernel. Two kernels with equal configs and the same sequence of calls
	// make the same decisions.
	Config struct {
		Self     peer.Member
		Trust    operator.TrustedKeys
		Seed     [32]byte
		TokenKey caller.TokenKey
		// Seeds are the peer addresses to contact while no member is known.
		Seeds       []netip.AddrPort
		MaxInFlight int
		// OnEvent is called for every event, if not nil.
		OnEvent func(Event)
		// Faults disables safeguards in tests.
		Faults InjectedFaults
	}

	// InjectedFaults selects safeguards that a test disables, to show that a violation of the
	// invariant they protect is detected.
	InjectedFaults struct {
		TokenReuse         bool
		LoanCountedTwice   bool
		ShiftUncapped      bool
		BundleRollback     bool
		DrainingServerUsed bool
		FenceDisabled      bool
		QuotaDisabled      bool
	}

	// Executor runs a function with exclusive access to a kernel.
	Executor func(func(k *Kernel, now time.Time))

	// Kernel holds the state of one proxy and makes its decisions.
	Kernel struct {
		config       Config
		random       *rand.Rand
		clock        peer.Clock
		events       *RingBuffer[Event]
		members      *peer.Members
		tokenRecords *caller.TokenRecords

		bundle     *operator.Bundle
		quotaSlots int
		envelope   []byte
		assignment *kv.Assignment
		vmList     *kv.VMList
		prefixes   *caller.PrefixTable

		services map[string]*service
		regions  []*regionState
		links    map[linkKey]*peer.Quota
		// resources lists all quotas in a fixed order.
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
		// releasingAll is set at the end of a stop, when all slots are released. It must not be
		// derived from the requests in flight: a stopping proxy may have none for a moment and
		// still has callers to serve.
		releasingAll     bool
		releaseStartedAt time.Time
		// sharesBundle is the version of the settled bundle that this proxy's shares were computed
		// from.
		sharesBundle       uint64
		ownedSlots         []int
		stopStartedAt      time.Time
		capsChangedAt      time.Time
		rowsAdopted        bool
		lastSeedExchange   time.Time
		borrowBlockedUntil map[peer.Resource]time.Time
		// quarantine tracks the requests that crash servers. incarnations holds the current
		// incarnations of the servers at which attempts were interrupted, by server name.
		quarantine   *quarantine.Tracker
		incarnations map[string]quarantine.InstanceID
		// backpressure holds the signals that servers send about the load they accept.
		backpressure *backpressure.Tracker
	}

	// service is a service of the bundle with its servers and balancing state.
	service struct {
		operator.Service
		servers     []*backend.Server
		byRegion    [][]*backend.Server
		picker      *backend.Picker
		retryBudget backend.RetryBudget
	}

	// linkKey identifies a link by the indexes of its regions.
	linkKey struct {
		from, to int
	}

	resource struct {
		name  peer.Resource
		quota *peer.Quota
	}

	// regionState is a region of the bundle with its quota, traffic shift and rates.
	regionState struct {
		operator.Region
		quota      peer.Quota
		shifter    *region.Shifter
		roundRobin region.WeightedRoundRobin
		servers    []*backend.Server
		lost       bool
		demand     rateMeter
		rejected   rateMeter
	}
)

// New creates a kernel that knows only its own proxy.
func New(c Config, now time.Time) *Kernel {
	if c.MaxInFlight == 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	c.Self.State = peer.StateJoining
	k := &Kernel{
		config:             c,
		random:             rand.New(rand.NewChaCha8(c.Seed)),
		events:             NewRingBuffer[Event](eventLogSize),
		members:            peer.NewMembers(c.Self, now),
		tokenRecords:       caller.NewTokenRecords(c.Self.Minter(), c.TokenKey),
		startedAt:          now,
		lastTick:           now,
		gossipTargets:      make(map[string]bool),
		borrowBlockedUntil: make(map[peer.Resource]time.Time),

		quarantine:   quarantine.NewTracker(),
		incarnations: make(map[string]quarantine.InstanceID),
		backpressure: backpressure.NewTracker(),
	}
	k.quarantine.OnEvent, k.quarantine.TrialRank = k.logQuarantineEvent, k.trialRank
	k.backpressure.OnEvent = k.logSignalChange
	return k
}

// Tick performs the periodic work and returns the actions for the driver.
func (k *Kernel) Tick(now time.Time) []Action {
	k.detectFreeze(now)
	k.lastTick = now
	var actions []Action
	k.tokenRecords.Expire(now)
	if !now.Before(k.nextForget) {
		k.nextForget = now.Add(forgetInterval)
		k.members.Expire(now)
	}
	if k.bundle != nil {
		k.joinIfReady(now)
		k.applyDraining(now)
		if k.members.Self().State != peer.StateJoining {
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

// joinIfReady lets lookups return this proxy once it has quota of its own and has adopted the rows
// of a serving peer, if there is one. After joinTimeout it joins without quota, since it may be
// able to borrow.
func (k *Kernel) joinIfReady(now time.Time) {
	if k.members.Self().State != peer.StateJoining {
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
	k.members.UpdateSelf(now, func(m *peer.Member) { m.State = peer.StateLive })
	k.scheduleGossip(now)
}

// hasServingPeer reports whether a serving peer is known, whose rows this proxy can adopt.
func (k *Kernel) hasServingPeer() bool {
	for _, m := range k.members.Serving() {
		if m.Name != k.config.Self.Name {
			return true
		}
	}
	return false
}

// detectFreeze fences this proxy's quota after a pause in which the process did not run. During the
// pause the platform may have removed the VM and another proxy may have been assigned its slots.
// Using them here too would exceed the capacity of the region. The fence is lifted by a reply from
// a peer or the platform to a request sent after the pause, since such a reply includes the latest
// assignment.
func (k *Kernel) detectFreeze(now time.Time) {
	if now.Sub(k.lastTick) < freezeThreshold || k.fenced || k.config.Faults.FenceDisabled {
		return
	}
	k.fenced = true
	k.fencedAt = now
	k.nextExchange = now
	k.log(now, Event{Kind: EventFenced, Detail: now.Sub(k.lastTick).Round(time.Millisecond).String()})
}

// maybeLiftFence lifts the fence if the reply belongs to a request sent after the pause. An earlier
// reply may have been waiting in a socket buffer.
//
// The fence lasts at least one window: if only the clock jumped and the process kept running, the
// requests it admitted just before still count.
func (k *Kernel) maybeLiftFence(now, sentAt time.Time) {
	if !sentAt.Before(k.fencedAt) && now.Sub(k.fencedAt) >= peer.WindowLength {
		k.fenced = false
	}
}

// mayUseQuota returns false while the quota is fenced, and also between a pause and the first tick
// after it, since a request may be processed before that tick.
func (k *Kernel) mayUseQuota(now time.Time) bool {
	return !k.fenced && now.Sub(k.lastTick) < freezeThreshold || k.config.Faults.FenceDisabled
}

// Self returns this proxy's own member record.
func (k *Kernel) Self() peer.Member { return k.members.Self() }

// Members returns all known proxies.
func (k *Kernel) Members() []peer.Member { return k.members.All() }

// BundleVersion returns the version of the bundle in force here, or 0 if there is none.
func (k *Kernel) BundleVersion() uint64 {
	if k.bundle == nil {
		return 0
	}
	return k.bundle.Version
}

// Bundle returns the bundle in force here. Callers must not modify it.
func (k *Kernel) Bundle() *operator.Bundle { return k.bundle }

// Envelope returns the signed form of the bundle in force.
func (k *Kernel) Envelope() []byte { return k.envelope }

func (k *Kernel) holder() kv.SlotHolder {
	return kv.SlotHolder{Name: k.config.Self.Name, Incarnation: k.config.Self.Incarnation}
}

func (k *Kernel) regionIndex(name string) int {
	for i, r := range k.regions {
		if r.Name == name {
			return i
		}
	}
	return -1
}

// homeRegion returns the index of the region that a client's requests are attributed to: the region
// of its address prefix, or else the region of this proxy.
func (k *Kernel) homeRegion(client netip.Addr) int {
	if k.prefixes != nil {
		site := k.prefixes.Lookup(client)
		if int(site) < len(k.regions) {
			return int(site)
		}
	}
	return max(0, k.regionIndex(k.config.Self.Region))
}
