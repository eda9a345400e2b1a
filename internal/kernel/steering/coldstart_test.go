package steering

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	fleetSize = 10
)

// coldServerFleet returns the kernels of proxies that know each other and one server that stays
// cold, and the list of the proxies.
func coldServerFleet(now time.Time) (fleet []*Kernel, proxies []Proxy) {
	return coldServerFleetJoinedAt(now, time.Time{})
}

// coldServerFleetJoinedAt is coldServerFleet with the given start time of the proxies.
func coldServerFleetJoinedAt(now, joined time.Time) (fleet []*Kernel, proxies []Proxy) {
	return newFleet(now, joined, fleetSize, []string{"north-a"})
}

// newFleet returns the kernels of a number of proxies, assigned to the failure domains in turn, and
// the list of the proxies.
func newFleet(now, joined time.Time, count int, domains []string) (fleet []*Kernel, proxies []Proxy) {
	for i := range count {
		domain := domains[i%len(domains)]
		proxies = append(proxies, Proxy{Name: fmt.Sprintf("proxy-%d", i), Domain: domain, Region: regionOf[domain]})
	}
	for _, p := range proxies {
		k := New(Config{
			Name: p.Name, Domain: p.Domain, Region: p.Region, RegionOf: regionOf, Joined: joined,
			Bounds: Bounds{Retry: ampleRetries, ColdFactor: 1.5, ColdSlack: 5},
		})
		route := &routing.Route{
			Name: "route", Host: "host", Prefix: "/a/", Idempotent: true, Attempts: 2, Timeout: time.Second, Target: time.Second,
			Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
		}
		service := &routing.Service{Name: "service", ColdStart: time.Hour, ColdPerSecond: 3.1}
		k.SetTable(routing.NewTable(1, []*routing.Route{route}, []*routing.Service{service}, routing.Limits{}))
		k.SetProxies(now, proxies)
		k.RegisterServer(now, routing.Server{ID: "cold", Service: "service", Domain: "north-a", Slots: 4, ColdFor: time.Hour})
		fleet = append(fleet, k)
	}
	return fleet, proxies
}

// sendForOneSecond sends requests to all proxies for a second and counts those that reach the cold
// server.
func sendForOneSecond(fleet []*Kernel, now time.Time) (sent int) {
	for end := now.Add(time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
		for _, k := range fleet {
			k.Tick(now)
			req, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/x", Deadline: now.Add(time.Second)})
			if d.Server != nil {
				sent++
				k.EndAttempt(now, req, Attempt{Result: ResultResponded})
			}
		}
	}
	return sent
}

// The store loses the entries of all proxies, or is unavailable until they expire, while all
// proxies continue to serve. If each then considered itself the only one, a server that returns
// cold would get ten times the rate it can handle, and crash.
func TestProxiesWithoutEntriesStillShareColdServers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const maxRate = 3.1*1.5 + 5
	fleet, proxies := coldServerFleet(now)
	if got := sendForOneSecond(fleet, now); got == 0 || float64(got) > maxRate {
		t.Fatalf("%d requests reach the cold server while all are listed, want 1 to %.1f", got, maxRate)
	}
	now = now.Add(5 * time.Second)
	for i, k := range fleet {
		k.SetProxies(now, proxies[i:i+1])
	}
	for _, after := range []time.Duration{0, 10 * time.Second, 20 * time.Second} {
		if got := sendForOneSecond(fleet, now.Add(after)); float64(got) > maxRate {
			t.Errorf("%s after the entries were lost, %d requests reach the cold server in a second, want at most %.1f", after, got, maxRate)
		}
	}
}

// Half of the proxies are partitioned from the store. They keep using the old list, while the
// others see the entries of that half expire.
func TestPartitionedProxiesStillShareColdServers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const maxRate = 3.1*1.5 + 5
	fleet, proxies := coldServerFleet(now)
	for _, k := range fleet[:fleetSize/2] {
		k.SetProxies(now, proxies[:fleetSize/2])
	}
	if got := sendForOneSecond(fleet, now.Add(time.Second)); float64(got) > maxRate {
		t.Errorf("%d requests reach the cold server in a second, want at most %.1f", got, maxRate)
	}
}

// Requests over new connections reach a cold server a round trip later than those over existing
// ones. Requests can therefore arrive closer together than they were sent, and around the boundary
// of two seconds more of them arrived within a second than the server can handle.
func TestColdServerRateHoldsForUnevenArrivals(t *testing.T) {
	const maxRate, maxDelay = 3.1*1.5 + 5, 100 * time.Millisecond
	for seed := range uint64(20) {
		now, random := time.Unix(1_000_000, 0), rand.New(rand.NewPCG(seed, 1))
		fleet, _ := coldServerFleet(now)
		fleet = fleet[:3]
		for _, k := range fleet {
			k.limitSharers = k.limitSharers[:3]
			clear(k.ranksByDomain)
		}
		var arrivals []time.Time
		for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(5 * time.Millisecond) {
			for _, k := range fleet {
				req, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/x", Deadline: now.Add(time.Second)})
				if d.Server != nil {
					arrivals = append(arrivals, now.Add(time.Duration(random.Int64N(int64(maxDelay)))))
					k.EndAttempt(now, req, Attempt{Result: ResultResponded})
				}
			}
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		for i, first := range arrivals {
			n := 0
			for n < len(arrivals)-i && arrivals[i+n].Sub(first) < time.Second {
				n++
			}
			if float64(n) > maxRate {
				t.Fatalf("seed %d: %d requests arrive at the cold server in a second, want at most %.1f", seed, n, maxRate)
			}
		}
	}
}

// VMs are removed for good. Their share of the request rate of cold servers must go to the other
// proxies, or servers would warm up more and more slowly.
func TestSharesOfLostProxiesAreRedistributed(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fleet, proxies := coldServerFleet(now)
	remaining := fleet[:2]
	baseline := sendForOneSecond(fleet, now)
	for _, k := range remaining {
		k.SetProxies(now, proxies[:2])
	}
	if got := sendForOneSecond(remaining, now.Add(time.Second)); got >= baseline {
		t.Errorf("%d requests reach the cold server just after eight of ten proxies are gone, want fewer than %d", got, baseline)
	}
	if got := sendForOneSecond(remaining, now.Add(time.Minute)); got != baseline {
		t.Errorf("%d requests reach the cold server a minute later, want %d", got, baseline)
	}
}

// All proxies lose power for longer than their leases and return together. Each reads the store
// before the others have written their entries.
func TestProxiesStartingTogetherDoNotOverloadColdServers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const maxRate = 3.1*1.5 + 5
	fleet, proxies := coldServerFleetJoinedAt(now, now)
	for i, k := range fleet {
		k.limitSharers = nil
		k.SetProxies(now, proxies[i:i+1])
	}
	if got := sendForOneSecond(fleet, now); float64(got) > maxRate {
		t.Errorf("%d requests reach the cold server in the first second, want at most %.1f", got, maxRate)
	}
	now = now.Add(startupGrace)
	for _, k := range fleet {
		k.SetProxies(now, proxies)
	}
	if got := sendForOneSecond(fleet, now); got == 0 || float64(got) > maxRate {
		t.Errorf("%d requests reach the cold server once the proxies know each other, want 1 to %.1f", got, maxRate)
	}
}
