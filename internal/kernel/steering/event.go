package steering

import (
	"net/netip"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	// EventTable marks a configuration that came into force.
	EventTable Kind = "configuration-in-force"
	// EventServer marks a server that joined, changed or drains.
	EventServer Kind = "server-changed"
	// EventServerGone marks a server that left.
	EventServerGone Kind = "server-gone"
	// EventServerRestarted marks a server that has started again under its id.
	EventServerRestarted Kind = "server-restarted"
	// EventHolding marks a service whose requests are held back from now on.
	EventHolding Kind = "holding-back"
	// EventSound marks a service whose servers were found to be as good when full: its
	// requests are no longer held back.
	EventSound Kind = "no-longer-held-back"
	// EventServerLimit marks a server that names a limit, another one, or none any more.
	EventServerLimit = Kind(backpressure.EventLimit)
	// EventServerPause marks a server that wants nothing from this proxy for a while.
	EventServerPause = Kind(backpressure.EventPause)
	// EventServerLeaving marks a server that leaves by its own word.
	EventServerLeaving = Kind(backpressure.EventDraining)
	// EventServerOut marks a server passed over after failures.
	EventServerOut Kind = "server-out"
	// EventEvacuated marks a failure domain emptied or taken back.
	EventEvacuated Kind = "domain-evacuated"
	// EventStranded marks a region that has lost all its proxies, or has some
	// again: its callers count with the other regions, or no longer do.
	EventStranded Kind = "region-without-proxies"
	// EventServerEnded marks a server that has ended with requests of this proxy there.
	EventServerEnded Kind = Kind(quarantine.EventServerCrashed)
	// EventWorkSuspected marks work that was there at the ends of more than one server.
	EventWorkSuspected Kind = Kind(quarantine.EventSuspected)
	// EventWorkCondemned marks work that is refused since servers ended with it.
	EventWorkCondemned Kind = Kind(quarantine.EventQuarantined)
	// EventWorkCleared marks work that ran well after servers had ended with it.
	EventWorkCleared Kind = Kind(quarantine.EventCleared)
	// EventSent marks a request sent to a server.
	EventSent Kind = "request-sent"
	// EventAttemptEnded marks the end of one attempt.
	EventAttemptEnded Kind = "attempt-ended"
	// EventFinished marks a request's final outcome.
	EventFinished Kind = "request-ended"
)

type (
	// Kind names a type of event.
	Kind string

	// Event is one decision, with what decided it. Those of a request are
	// told together when it ends.
	Event struct {
		At      time.Time
		Kind    Kind
		Request string
		Route   string
		// Account is the client account.
		Account string
		Service string
		Server  string
		Object  string
		// Work names what a request asks a server to do.
		Work quarantine.Fingerprint
		// Ends counts the servers that have ended with the work there; Works are those
		// that were there at a server's end.
		Ends   int
		Works  []quarantine.Fingerprint
		Domain string
		Region string
		// Address is where a server that has started again was before.
		Address netip.AddrPort
		// Elsewhere is set if the region's callers count with other regions.
		Elsewhere bool
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
		// Wait is the part of Expected until a slot is free, and State how the server
		// stood then.
		Wait  time.Duration
		State ServerState
		// Cause says where the time of a late request went.
		Cause Cause
		// Home is the server's rank among the object's homes, from 0.
		Home int
		Warm bool
		// Took is how long the attempt or the request lasted, or for how long
		// a server is out.
		Took time.Duration
		// ComeBack is when a refused caller was told to try again.
		ComeBack time.Duration
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
