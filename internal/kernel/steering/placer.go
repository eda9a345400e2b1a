package steering

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// DefaultPlacer keeps objects at their homes.
	DefaultPlacer = "homes"
)

var (
	placers = map[string]placer{}
)

type (
	// placer weighs the servers that may take a request; the least cost wins.
	// All but the default are there to be measured against.
	placer struct {
		name string
		cost func(k *Kernel, f *ActiveRequest, p choice) time.Duration
		// shedsLoad is set if requests are refused where queues are too long, chargesColdRuns if
		// servers away from an object's homes are charged for running it cold.
		shedsLoad       bool
		chargesColdRuns bool
	}
)

func init() {
	registerPlacer(placer{
		name: DefaultPlacer, shedsLoad: true, chargesColdRuns: true,
		cost: func(_ *Kernel, _ *ActiveRequest, p choice) time.Duration { return p.cost },
	})
	registerPlacer(placer{name: "least-in-flight", cost: func(_ *Kernel, _ *ActiveRequest, p choice) time.Duration {
		return time.Duration(p.server.inFlight)*time.Second + p.server.rtt.roundTrip
	}})
	registerPlacer(placer{name: "round-robin", cost: func(_ *Kernel, _ *ActiveRequest, p choice) time.Duration {
		return time.Duration(p.server.sentCount)
	}})
	registerPlacer(placer{name: "rendezvous", cost: func(_ *Kernel, req *ActiveRequest, p choice) time.Duration {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(p.server.id + "/" + req.Object))
		return time.Duration(hash.Sum32())
	}})
}

// registerPlacer adds a placer. It is called from init only, so the registry
// is constant once main runs.
func registerPlacer(p placer) {
	if _, taken := placers[p.name]; taken {
		panic(fmt.Sprintf("steering: placer %q registered twice", p.name))
	}
	placers[p.name] = p
}

// Placers lists the registered names in order.
func Placers() []string {
	names := make([]string, 0, len(placers))
	for name := range placers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
