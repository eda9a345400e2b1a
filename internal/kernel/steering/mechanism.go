package steering

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// MechanismHomes keeps each object at few servers; without it all requests are
	// taken for those of routes that are not sticky.
	MechanismHomes Mechanism = "homes"
	// MechanismRegionCapacity deals objects out over regions by the room there; without it
	// each region keeps its own.
	MechanismRegionCapacity Mechanism = "rooms"
	// MechanismFailover moves objects of lost servers to regions with room.
	MechanismFailover Mechanism = "failover"
	// MechanismStrandedRegions counts callers of regions without proxies elsewhere.
	MechanismStrandedRegions Mechanism = "stranded-regions"
	// MechanismLoadShedding refuses a share of the requests where queues are long.
	MechanismLoadShedding Mechanism = "refusals-by-queues"
	// MechanismQueueInference infers the queues of servers that do not tell their load.
	MechanismQueueInference Mechanism = "inferred-queues"
	// MechanismOutlierDetection passes servers over that fail or refuse several in a row.
	MechanismOutlierDetection Mechanism = "outlier-verdicts"
	// MechanismServerSpeed reckons with how slow each server is.
	MechanismServerSpeed Mechanism = "server-speed"
	// MechanismSharedConnections has each proxy keep to its part of the connections.
	MechanismSharedConnections Mechanism = "shared-connections"
	// MechanismUnseenRequests reckons with requests of others on routes without objects.
	MechanismUnseenRequests Mechanism = "unseen-requests"
	// MechanismRetries sends a request again to another server.
	MechanismRetries Mechanism = "repeats"
	// MechanismReplicas spreads objects that are asked for often over several servers.
	MechanismReplicas Mechanism = "replicas"
	// MechanismConcurrencyLimit holds requests back before servers that slow down when full.
	MechanismConcurrencyLimit Mechanism = "hold-back"
	// MechanismQuarantine keeps requests that end servers away from them.
	MechanismQuarantine Mechanism = "quarantine"
)

var (
	mechanisms = []Mechanism{
		MechanismHomes, MechanismRegionCapacity, MechanismFailover, MechanismStrandedRegions, MechanismLoadShedding, MechanismQueueInference,
		MechanismOutlierDetection, MechanismServerSpeed, MechanismSharedConnections, MechanismUnseenRequests, MechanismRetries, MechanismReplicas, MechanismConcurrencyLimit,
		MechanismQuarantine,
	}
)

type (
	// Mechanism names a part of the decisions that can be switched off: by operators
	// on a bad night, and to measure what it is worth. What keeps a promise (cold
	// servers' rate, budgets, drains, regions) is none of them, but the quarantine: where
	// it refuses a sound request, a good run at one proxy without it frees it.
	Mechanism string
)

// Mechanisms lists all that can be switched off.
func Mechanisms() []Mechanism { return slices.Clone(mechanisms) }

// UnmarshalText reads a mechanism's name.
func (m *Mechanism) UnmarshalText(text []byte) error {
	if !slices.Contains(mechanisms, Mechanism(text)) {
		names := make([]string, 0, len(mechanisms))
		for _, known := range mechanisms {
			names = append(names, string(known))
		}
		return fmt.Errorf("%q is no mechanism; known are %s", text, strings.Join(names, ", "))
	}
	*m = Mechanism(text)
	return nil
}

// isEnabled reports whether a mechanism is in use.
func (k *Kernel) isEnabled(m Mechanism) bool { return !k.disabled[m] }
