package steering

import (
	"net/netip"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	// EventConfigurationInForce reports that a configuration became active.
	EventConfigurationInForce EventKind = "configuration-in-force"
	// EventServerChanged reports that a server joined, changed or drains.
	EventServerChanged EventKind = "server-changed"
	// EventServerGone reports that a server left.
	EventServerGone EventKind = "server-gone"
	// EventServerRestarted reports that a server restarted under its ID.
	EventServerRestarted EventKind = "server-restarted"
	// EventConcurrencyLimited reports that requests of a service are subject to concurrency limits
	// from now on.
	EventConcurrencyLimited EventKind = "holding-back"
	// EventConcurrencyUnlimited reports that the servers of a service do not slow down when full,
	// so that its requests are no longer subject to concurrency limits.
	EventConcurrencyUnlimited EventKind = "no-longer-held-back"
	// EventServerLimit reports that a server announced, changed or lifted a rate limit.
	EventServerLimit = EventKind(backpressure.EventLimit)
	// EventServerPause reports that a server requested a pause of this proxy.
	EventServerPause = EventKind(backpressure.EventPause)
	// EventServerDraining reports that a server announced that it drains.
	EventServerDraining = EventKind(backpressure.EventDraining)
	// EventServerEjected reports that a server was ejected after failures.
	EventServerEjected EventKind = "server-out"
	// EventDomainEvacuated reports that a failure domain was evacuated or restored.
	EventDomainEvacuated EventKind = "domain-evacuated"
	// EventRegionWithoutProxies reports that a region has lost all its proxies, so that its callers
	// are counted in other regions, or that it has some again.
	EventRegionWithoutProxies EventKind = "region-without-proxies"
	// EventLocalShareChanged reports that another share of a route's objects is placed in the region
	// of the callers.
	EventLocalShareChanged EventKind = "local-share-changed"
	// EventRegionDemand reports that the demand of the regions for a service is measured from now on,
	// or that it no longer is.
	EventRegionDemand EventKind = "region-demand"
	// EventServerCrashed reports that a server crashed or stopped while it had requests of this
	// proxy.
	EventServerCrashed EventKind = EventKind(quarantine.EventServerCrashed)
	// EventWorkSuspected reports a request fingerprint that was in flight at the crashes of more
	// than one server.
	EventWorkSuspected EventKind = EventKind(quarantine.EventSuspected)
	// EventWorkQuarantined reports a request fingerprint that is rejected because it crashed
	// servers.
	EventWorkQuarantined EventKind = EventKind(quarantine.EventQuarantined)
	// EventWorkCleared reports a request fingerprint that succeeded after servers had crashed with
	// it.
	EventWorkCleared EventKind = EventKind(quarantine.EventCleared)
	// EventReachability reports that this proxy is cut off from all servers, or no longer is.
	EventReachability EventKind = "reachability"
	// EventHandedOver reports that a request was handed over to another proxy.
	EventHandedOver EventKind = "handed-over"
	// EventHandoverEnded reports the end of a handover.
	EventHandoverEnded EventKind = "handover-ended"
	// EventRequestSent reports that a request was sent to a server.
	EventRequestSent EventKind = "request-sent"
	// EventAttemptEnded reports the end of one attempt.
	EventAttemptEnded EventKind = "attempt-ended"
	// EventRequestEnded reports the final outcome of a request.
	EventRequestEnded EventKind = "request-ended"
)

type (
	// EventKind is the type of an event.
	EventKind string

	// Event describes one decision and its basis. The events of a request are reported together
	// when it ends.
	Event struct {
		At      time.Time
		Kind    EventKind
		Request string
		Route   string
		// Account is the name of the client account.
		Account string
		Service string
		Server  string
		Object  string
		// Fingerprint identifies the work of a request.
		Fingerprint quarantine.Fingerprint
		// Crashes counts the servers that crashed with the fingerprint in flight.
		// RunningFingerprints are those that were in flight when a server crashed.
		Crashes             int
		RunningFingerprints []quarantine.Fingerprint
		Domain              string
		Region              string
		// Address is the address of a restarted server before its restart.
		Address netip.AddrPort
		// CallersElsewhere is set if the callers of the region are counted in other regions.
		CallersElsewhere bool
		// Share is the share that changed: the part of a route's objects that are placed in Region,
		// or of the slots there that are in use.
		Share float64
		// Measured is set if measured demand is used from now on.
		Measured bool
		// CutOff is set if this proxy is cut off from all servers.
		CutOff bool
		// SinceShutdown is when the request began, relative to the shutdown of this proxy, or zero if none
		// has begun. ConnectionUses is, for the end of a request, that of the caller's connection.
		SinceShutdown time.Duration
		// From is the proxy that handed the request over to this one.
		From string
		// Version is the version of the configuration.
		Version uint64
		// Attempt is the number of the attempt, starting at 1.
		Attempt int
		// Connection identifies the connection in this process that the attempt was sent on, and
		// ConnectionUses is how many requests it has carried, including this one.
		Connection     uint64
		ConnectionUses int
		// DialTime is the time that opening the connection of an attempt took, or zero if it was sent on
		// a kept one.
		DialTime time.Duration
		// IsHedge is set if the attempt was begun by BeginHedge. Hedge is the outcome of the hedge
		// of a request that ends.
		IsHedge bool
		Hedge   HedgeOutcome
		Result  Result
		Outcome Outcome
		Reason  Reason
		// Proof is what proves that an attempt has not run or, for a request that ends as not run, its
		// last attempt.
		Proof Proof
		// RetryBudget is the retry budget of the service when a retry of the request was last wanted.
		// RetriesCharged counts the retries that the budget granted to a request that ends, and
		// RetryDenied is set if it granted no more.
		RetryBudget    RetryBudgetState
		RetriesCharged int
		RetryDenied    bool
		// Limit is the rate limit that a server announced for all proxies together.
		Limit    backpressure.Limit
		Draining bool
		// Expected is the time until the response that the choice expected. Load is the server load
		// that it assumed, and LoadAge is the age of the last load report, negative if there was
		// none.
		Expected time.Duration
		Load     float64
		LoadAge  time.Duration
		// WorkFactor is the duration of work, as a multiple of the usual, that the server reports:
		// the factor that the choice used, or the one reported with the response.
		WorkFactor float64
		// ExpectedWait is the part of Expected until a slot is free. For a request that was rejected
		// because of the queues it is the expected wait there, and WaitLimit the wait from which
		// such requests are rejected. State is the state of the
		// server at that time.
		ExpectedWait time.Duration
		WaitLimit    time.Duration
		State        ServerState
		// Cause is where most of the time of a late request was spent.
		Cause Cause
		// HomeRank is the rank of the server among the object's homes, starting at 0.
		HomeRank int
		Warm     bool
		// Duration is how long the attempt or the request took, or for how long a server is
		// ejected.
		Duration time.Duration
		// RetryAfter is the retry delay that a rejected caller was given.
		RetryAfter time.Duration
		// Pressure is the queue pressure where the request would have run: the queue length
		// relative to the number of requests that can wait there and still meet the target.
		Pressure float64
		// ShedRatio is the share of requests that was rejected for the queues when this one was, and
		// AccountShedRatio the share of those of its account, which is larger for an account above
		// its fair share. Both are zero where accounts are not distinguished.
		ShedRatio, AccountShedRatio float64
		Err                         error
		// Target is the target response time of the route.
		Target time.Duration
		// Steps are the earlier decisions of a request that ends.
		Steps []Event
	}
)
