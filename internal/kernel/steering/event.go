package steering

import (
	"net/netip"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	// EventConfigurationInForce marks a configuration that came into force.
	EventConfigurationInForce EventKind = "configuration-in-force"
	// EventServerChanged marks a server that joined, changed or drains.
	EventServerChanged EventKind = "server-changed"
	// EventServerGone marks a server that left.
	EventServerGone EventKind = "server-gone"
	// EventServerRestarted marks a server that has started again under its id.
	EventServerRestarted EventKind = "server-restarted"
	// EventConcurrencyLimited marks a service whose requests are held back from now on.
	EventConcurrencyLimited EventKind = "holding-back"
	// EventConcurrencyUnlimited marks a service whose servers were found to be as good when full: its
	// requests are no longer held back.
	EventConcurrencyUnlimited EventKind = "no-longer-held-back"
	// EventServerLimit marks a server that names a limit, another one, or none any more.
	EventServerLimit = EventKind(backpressure.ChangeLimit)
	// EventServerPause marks a server that wants nothing from this proxy for a while.
	EventServerPause = EventKind(backpressure.ChangePause)
	// EventServerDraining marks a server that leaves by its own word.
	EventServerDraining = EventKind(backpressure.ChangeLeaving)
	// EventServerEjected marks a server passed over after failures.
	EventServerEjected EventKind = "server-out"
	// EventDomainEvacuated marks a failure domain emptied or taken back.
	EventDomainEvacuated EventKind = "domain-evacuated"
	// EventRegionWithoutProxies marks a region that has lost all its proxies, or has some
	// again: its callers count with the other regions, or no longer do.
	EventRegionWithoutProxies EventKind = "region-without-proxies"
	// EventServerCrashed marks a server that has ended with requests of this proxy there.
	EventServerCrashed EventKind = EventKind(quarantine.ChangeEnded)
	// EventWorkSuspected marks work that was there at the ends of more than one server.
	EventWorkSuspected EventKind = EventKind(quarantine.ChangeSuspected)
	// EventWorkQuarantined marks work that is refused since servers ended with it.
	EventWorkQuarantined EventKind = EventKind(quarantine.ChangeCondemned)
	// EventWorkCleared marks work that ran well after servers had ended with it.
	EventWorkCleared EventKind = EventKind(quarantine.ChangeCleared)
	// EventRequestSent marks a request sent to a server.
	EventRequestSent EventKind = "request-sent"
	// EventAttemptEnded marks the end of one attempt.
	EventAttemptEnded EventKind = "attempt-ended"
	// EventRequestEnded marks a request's final outcome.
	EventRequestEnded EventKind = "request-ended"
)

type (
	// EventKind names a type of event.
	EventKind string

	// Event is one decision, with what decided it. Those of a request are
	// told together when it ends.
	Event struct {
		At      time.Time
		Kind    EventKind
		Request string
		Route   string
		// Account is the client account.
		Account string
		Service string
		Server  string
		Object  string
		// Fingerprint names what a request asks a server to do.
		Fingerprint quarantine.Work
		// Crashes counts the servers that have ended with the work there; Works are those
		// that were there at a server's end.
		Crashes             int
		RunningFingerprints []quarantine.Work
		Domain              string
		Region              string
		// Address is where a server that has started again was before.
		Address netip.AddrPort
		// CallersElsewhere is set if the region's callers count with other regions.
		CallersElsewhere bool
		// Version is that of the configuration.
		Version uint64
		// Attempt counts the sends of a request from 1.
		Attempt int
		Result  Result
		Outcome Outcome
		Reason  Reason
		// Limit is what a server takes from all proxies together.
		Limit    backpressure.Limit
		Draining bool
		// Expected is the time until the answer that the choice reckoned
		// with, Load and LoadAge the load it saw and how old that was, negative
		// if the server never told it.
		Expected time.Duration
		Load     float64
		LoadAge  time.Duration
		// ExpectedWait is the part of Expected until a slot is free, and State how the server
		// stood then.
		ExpectedWait time.Duration
		State        ServerState
		// Cause says where the time of a late request went.
		Cause Cause
		// HomeRank is the server's rank among the object's homes, from 0.
		HomeRank int
		Warm     bool
		// Duration is how long the attempt or the request lasted, or for how long
		// a server is out.
		Duration time.Duration
		// RetryAfter is when a refused caller was told to try again.
		RetryAfter time.Duration
		// Pressure is how long the queues were where a request would go, as a
		// part of what may wait there and still be answered in time.
		Pressure float64
		Err      error
		// Target is the route's time for a good answer.
		Target time.Duration
		// Steps are the earlier decisions of a request that ends.
		Steps []Event
	}
)
