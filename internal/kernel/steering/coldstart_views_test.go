package steering

import (
	"slices"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

type (
	// coldArrivals records the requests that reach a cold server.
	coldArrivals struct {
		fleet *viewFleet
		times []time.Time
	}
)

func newColdArrivals(seed uint64, size int) *coldArrivals {
	a := &coldArrivals{}
	a.fleet = newViewFleet(seed, size, viewLoad{bounds: Bounds{ColdFactor: 1.5, ColdSlack: 5}, setUp: registerColdServer, serve: a.sendRequests})
	return a
}

func registerColdServer(k *Kernel) {
	route := &routing.Route{
		Name: "route", Host: "host", Prefix: "/a/", Attempts: 1, Timeout: time.Second, Target: time.Second,
		Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
	}
	service := &routing.Service{Name: "service", ColdStart: time.Hour, ColdPerSecond: 3}
	k.SetTable(routing.NewTable(1, []*routing.Route{route}, []*routing.Service{service}, routing.Limits{}))
	k.RegisterServer(k.config.Joined, routing.Server{ID: "cold", Service: "service", Domain: "north-a", Slots: 4, ColdFor: time.Hour})
}

// sendRequests sends as many requests to the cold server as a proxy allows.
func (a *coldArrivals) sendRequests(p *viewProxy) {
	now := a.fleet.now
	for {
		req, d := p.kernel.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/x", Deadline: now.Add(time.Second)})
		if d.Server == nil {
			return
		}
		a.times = append(a.times, now)
		p.kernel.EndAttempt(now, req, Attempt{Result: ResultResponded})
	}
}

// sentWithinSecond returns the largest number of requests that reached the cold server within a second,
// and the end of that second.
func (a *coldArrivals) sentWithinSecond() (most int, at time.Duration) {
	first := 0
	for i, arrival := range a.times {
		for arrival.Sub(a.times[first]) >= time.Second {
			first++
		}
		if n := i - first + 1; n > most {
			most, at = n, arrival.Sub(viewStart)
		}
	}
	return most, at
}

// Proxies see different lists of each other while entries are lost, links are cut and processes
// restart. Guards against shares of a cold server's rate that add up to more than the rate.
func TestSharesOfColdServerHoldForAllLists(t *testing.T) {
	const seeds, maxRate, minCalmRate = 25, 3*1.5 + 5.0, 5.0
	for _, size := range []int{2, 3, 5, 10} {
		for seed := range uint64(seeds) {
			a := newColdArrivals(seed, size)
			f := a.fleet
			for f.now.Sub(viewStart) < viewRunTime {
				f.step()
			}
			if n, at := a.sentWithinSecond(); float64(n) > maxRate {
				t.Errorf("%d proxies, seed %d: %d requests reach the cold server in the second before %s, want at most %.1f; faults: %q", size, seed, n, at, maxRate, f.faults)
			}
			calm := slices.DeleteFunc(a.times, func(at time.Time) bool { return at.Sub(viewStart) < viewRunTime-viewCalmTime })
			if rate := float64(len(calm)) / viewCalmTime.Seconds(); rate < minCalmRate {
				t.Errorf("%d proxies, seed %d: %.1f requests a second reach the cold server after the faults, want at least %.1f", size, seed, rate, minCalmRate)
			}
		}
	}
}
