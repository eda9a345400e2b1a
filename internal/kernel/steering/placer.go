package steering

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// DefaultPlacer prefers the home servers of objects.
	DefaultPlacer = "homes"
)

var (
	placers = map[string]placer{}
)

type (
	// placer is a load-balancing policy. It assigns a cost to each server that can take a request,
	// and the lowest cost wins. All policies but the default serve only as baselines for
	// measurements.
	placer struct {
		name string
		cost func(k *Kernel, req *ActiveRequest, candidate choice) time.Duration
		// shedsLoad is set if requests are rejected where queues are too long. chargesColdRuns is
		// set if servers other than an object's homes are charged for running it cold.
		shedsLoad       bool
		chargesColdRuns bool
		// comparesSpeed is set if costs are durations, to which that of a server's reported speed
		// can be added.
		comparesSpeed bool
	}
)

func init() {
	registerPlacer(placer{
		name: DefaultPlacer, shedsLoad: true, chargesColdRuns: true, comparesSpeed: true,
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

// registerPlacer adds a policy. It is called only from init, so the registry does not change once
// main runs.
func registerPlacer(p placer) {
	if _, taken := placers[p.name]; taken {
		panic(fmt.Sprintf("steering: placer %q registered twice", p.name))
	}
	placers[p.name] = p
}

// Placers lists the names of the registered policies in order.
func Placers() []string {
	names := make([]string, 0, len(placers))
	for name := range placers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
