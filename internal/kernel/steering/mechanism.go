package steering

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// MechanismHomes keeps each object on few servers. Without it, all requests are treated like
	// those of routes that are not sticky.
	MechanismHomes Mechanism = "homes"
	// MechanismRegionCapacity assigns objects to regions by their capacity. Without it, each region
	// keeps its own objects.
	MechanismRegionCapacity Mechanism = "rooms"
	// MechanismFailover moves objects of lost servers to regions with free capacity.
	MechanismFailover Mechanism = "failover"
	// MechanismStrandedRegions counts the callers of regions without proxies in other regions.
	MechanismStrandedRegions Mechanism = "stranded-regions"
	// MechanismLoadShedding rejects a share of the requests where queues are long.
	MechanismLoadShedding Mechanism = "refusals-by-queues"
	// MechanismPriorityShedding rejects less urgent requests where more urgent ones would miss
	// their targets. Without it, each request is rejected only for its own target.
	MechanismPriorityShedding Mechanism = "priority-shedding"
	// MechanismFairShares rejects the requests of accounts above their fair share first where load
	// is shed. Without it, all accounts are treated alike.
	MechanismFairShares Mechanism = "fair-shares"
	// MechanismQueueInference infers the queues of servers that do not report their load.
	MechanismQueueInference Mechanism = "inferred-queues"
	// MechanismOutlierDetection ejects servers that fail or reject several requests in a row.
	MechanismOutlierDetection Mechanism = "outlier-verdicts"
	// MechanismServerSpeed takes the slowdown of each server into account.
	MechanismServerSpeed Mechanism = "server-speed"
	// MechanismReportedSpeed takes the slots and the speed that servers report into account.
	MechanismReportedSpeed Mechanism = "reported-speed"
	// MechanismSharedConnections limits each proxy to its share of a server's connections.
	MechanismSharedConnections Mechanism = "shared-connections"
	// MechanismUnseenRequests takes unreported requests of other proxies into account on routes
	// without objects.
	MechanismUnseenRequests Mechanism = "unseen-requests"
	// MechanismRetries retries requests on other servers.
	MechanismRetries Mechanism = "repeats"
	// MechanismReplicas spreads frequently requested objects over several servers.
	MechanismReplicas Mechanism = "replicas"
	// MechanismConcurrencyLimit limits the concurrent requests to servers that slow down when full.
	MechanismConcurrencyLimit Mechanism = "hold-back"
	// MechanismQuarantine keeps requests that crash servers away from them.
	MechanismQuarantine Mechanism = "quarantine"
	// MechanismHedging sends idempotent requests that run much longer than usual a second time.
	MechanismHedging Mechanism = "hedged-requests"
	// MechanismWideLinks directs callers to the proxies with wide links. Without it, callers use all
	// proxies of their failure domain, and no proxy publishes an overflow level.
	MechanismWideLinks Mechanism = "wide-links"
	// MechanismLocalCapacity gives the capacity of this region first to the routes for which the
	// round trip to another region is the largest part of the target.
	MechanismLocalCapacity Mechanism = "local-capacity"
	// MechanismRegionDemand measures the demand of the regions where servers are busy. Without it,
	// each region counts by its number of failure domains.
	MechanismRegionDemand Mechanism = "regional-demand"
	// MechanismHandover hands requests over to other proxies while this one reaches no server.
	MechanismHandover Mechanism = "handover"
)

var (
	mechanisms = []Mechanism{
		MechanismHomes,
		MechanismRegionCapacity,
		MechanismFailover,
		MechanismStrandedRegions,
		MechanismLoadShedding,
		MechanismPriorityShedding,
		MechanismFairShares,
		MechanismQueueInference,
		MechanismOutlierDetection,
		MechanismServerSpeed,
		MechanismReportedSpeed,
		MechanismSharedConnections,
		MechanismUnseenRequests,
		MechanismRetries,
		MechanismReplicas,
		MechanismConcurrencyLimit,
		MechanismQuarantine,
		MechanismWideLinks,
		MechanismLocalCapacity,
		MechanismRegionDemand,
		MechanismHedging,
		MechanismHandover,
	}
)

type (
	// Mechanism is a part of the decisions that can be disabled, by operators during an incident or
	// to measure its effect. Parts that enforce guarantees (the rate of cold servers, budgets,
	// draining, regions) cannot be disabled. The quarantine is an exception: if it rejects a
	// harmless request, one success at a proxy on which it is disabled clears it.
	Mechanism string
)

// Mechanisms lists all mechanisms that can be disabled.
func Mechanisms() []Mechanism { return slices.Clone(mechanisms) }

// UnmarshalText parses the name of a mechanism.
func (m *Mechanism) UnmarshalText(text []byte) error {
	if !slices.Contains(mechanisms, Mechanism(text)) {
		names := make([]string, 0, len(mechanisms))
		for _, known := range mechanisms {
			names = append(names, string(known))
		}
		return fmt.Errorf("unknown mechanism %q; known mechanisms: %s", text, strings.Join(names, ", "))
	}
	*m = Mechanism(text)
	return nil
}

// isEnabled reports whether a mechanism is enabled.
func (k *Kernel) isEnabled(m Mechanism) bool { return !k.disabled[m] }
