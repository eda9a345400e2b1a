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
	// MechanismRooms deals objects out over regions by the room there; without it
	// each region keeps its own.
	MechanismRooms Mechanism = "rooms"
	// MechanismFailover moves objects of lost servers to regions with room.
	MechanismFailover Mechanism = "failover"
	// MechanismStranded counts callers of regions without proxies elsewhere.
	MechanismStranded Mechanism = "stranded-regions"
	// MechanismShed refuses a share of the requests where queues are long.
	MechanismShed Mechanism = "refusals-by-queues"
	// MechanismInfer infers the queues of servers that do not tell their load.
	MechanismInfer Mechanism = "inferred-queues"
	// MechanismOutliers passes servers over that fail or refuse several in a row.
	MechanismOutliers Mechanism = "outlier-verdicts"
	// MechanismSpeed reckons with how slow each server is.
	MechanismSpeed Mechanism = "server-speed"
	// MechanismShareConnections has each proxy keep to its part of the connections.
	MechanismShareConnections Mechanism = "shared-connections"
	// MechanismUnseen reckons with requests of others on routes without objects.
	MechanismUnseen Mechanism = "unseen-requests"
	// MechanismRepeats sends a request again to another server.
	MechanismRepeats Mechanism = "repeats"
	// MechanismReplicas spreads objects that are asked for often over several servers.
	MechanismReplicas Mechanism = "replicas"
	// MechanismHold holds requests back before servers that slow down when full.
	MechanismHold Mechanism = "hold-back"
	// MechanismQuarantine keeps requests that end servers away from them.
	MechanismQuarantine Mechanism = "quarantine"
)

var (
	mechanisms = []Mechanism{
		MechanismHomes, MechanismRooms, MechanismFailover, MechanismStranded, MechanismShed, MechanismInfer,
		MechanismOutliers, MechanismSpeed, MechanismShareConnections, MechanismUnseen, MechanismRepeats, MechanismReplicas, MechanismHold,
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

// on reports whether a mechanism is in use.
func (k *Kernel) on(m Mechanism) bool { return !k.off[m] }
