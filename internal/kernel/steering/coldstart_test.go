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

// coldServerFleet makes proxies that know each other and a server that stays cold.
func coldServerFleet(now time.Time) (fleet []*Kernel, list []Proxy) {
	return coldServerFleetJoinedAt(now, time.Time{})
}

// coldServerFleetJoinedAt is the same with proxies that have started at a moment.
func coldServerFleetJoinedAt(now, joined time.Time) (fleet []*Kernel, list []Proxy) {
	return newFleet(now, joined, fleetSize, []string{"north-a"})
}

// newFleet makes a number of proxies, dealt out over failure domains in turn.
func newFleet(now, joined time.Time, proxies int, domains []string) (fleet []*Kernel, list []Proxy) {
	for i := range proxies {
		domain := domains[i%len(domains)]
		list = append(list, Proxy{Name: fmt.Sprintf("proxy-%d", i), Domain: domain, Region: regionOf[domain]})
	}
	for _, p := range list {
		k := New(Config{
			Name: p.Name, Domain: p.Domain, Region: p.Region, RegionOf: regionOf, Joined: joined,
			Bounds: Bounds{Retry: RetryBudget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}, ColdFactor: 1.5, ColdSlack: 5},
		})
		route := &routing.Route{
			Name: "route", Host: "host", Prefix: "/a/", Idempotent: true, Attempts: 2, Timeout: time.Second, Target: time.Second,
			Parts: []routing.Part{{Service: "service", Weight: 1}},
		}
		service := &routing.Service{Name: "service", ColdStart: time.Hour, ColdPerSecond: 3.1}
		k.SetTable(routing.NewTable(1, []*routing.Route{route}, []*routing.Service{service}, routing.Limits{}))
		k.SetProxies(now, list)
		k.RegisterServer(now, routing.Server{ID: "cold", Service: "service", Domain: "north-a", Slots: 4, ColdFor: time.Hour})
		fleet = append(fleet, k)
	}
	return fleet, list
}

// sendForOneSecond lets all proxies have callers for a second and counts what they
// send to the cold server.
func sendForOneSecond(fleet []*Kernel, now time.Time) (sent int) {
	for end := now.Add(time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
		for _, k := range fleet {
			k.Tick(now)
			f, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/x", Deadline: now.Add(time.Second)})
			if d.Server != nil {
				sent++
				k.EndAttempt(now, f, Attempt{Result: ResultAnswered})
			}
		}
	}
	return sent
}

// The store takes the entries of all proxies away, or is away itself until they
// run out, and all go on serving. If each then took itself for the only one, a
// server that comes back cold would get ten times what it bears, and crash.
func TestProxiesWithoutEntriesStillShareColdServers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const bears = 3.1*1.5 + 5
	fleet, list := coldServerFleet(now)
	if got := sendForOneSecond(fleet, now); got == 0 || float64(got) > bears {
		t.Fatalf("%d requests reach the cold server while all are listed, want 1 to %.1f", got, bears)
	}
	now = now.Add(5 * time.Second)
	for i, k := range fleet {
		k.SetProxies(now, list[i:i+1])
	}
	for _, after := range []time.Duration{0, 10 * time.Second, 20 * time.Second} {
		if got := sendForOneSecond(fleet, now.Add(after)); float64(got) > bears {
			t.Errorf("%s after the entries went, %d requests reach the cold server in a second, want at most %.1f", after, got, bears)
		}
	}
}

// Half of the proxies are cut off from the store. They cannot hear of the others
// and go by the old list, while the others see theirs run out.
func TestPartitionedProxiesStillShareColdServers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const bears = 3.1*1.5 + 5
	fleet, list := coldServerFleet(now)
	for _, k := range fleet[:fleetSize/2] {
		k.SetProxies(now, list[:fleetSize/2])
	}
	if got := sendForOneSecond(fleet, now.Add(time.Second)); float64(got) > bears {
		t.Errorf("%d requests reach the cold server in a second, want at most %.1f", got, bears)
	}
}

// Requests over new connections reach a cold server later than those over kept ones,
// by a round trip. Those sent in one second can so arrive closer together than they
// were sent, and at the edge of a second more arrived than the server bears.
func TestColdServerRateHoldsForUnevenArrivals(t *testing.T) {
	const bears, late = 3.1*1.5 + 5, 100 * time.Millisecond
	for seed := range uint64(20) {
		now, random := time.Unix(1_000_000, 0), rand.New(rand.NewPCG(seed, 1))
		fleet, _ := coldServerFleet(now)
		fleet = fleet[:3]
		for _, k := range fleet {
			k.limitSharers = k.limitSharers[:3]
			clear(k.ranksByDomain)
		}
		var arrived []time.Time
		for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(5 * time.Millisecond) {
			for _, k := range fleet {
				f, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/x", Deadline: now.Add(time.Second)})
				if d.Server != nil {
					arrived = append(arrived, now.Add(time.Duration(random.Int64N(int64(late)))))
					k.EndAttempt(now, f, Attempt{Result: ResultAnswered})
				}
			}
		}
		slices.SortFunc(arrived, time.Time.Compare)
		for i, first := range arrived {
			n := 0
			for n < len(arrived)-i && arrived[i+n].Sub(first) < time.Second {
				n++
			}
			if float64(n) > bears {
				t.Fatalf("seed %d: %d requests arrive at the cold server in a second, want at most %.1f", seed, n, bears)
			}
		}
	}
}

// VMs are taken away for good. Their part of what cold servers bear must not be
// lost for ever, or servers would warm more and more slowly.
func TestSharesOfLostProxiesAreRedistributed(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fleet, list := coldServerFleet(now)
	left := fleet[:2]
	all := sendForOneSecond(fleet, now)
	for _, k := range left {
		k.SetProxies(now, list[:2])
	}
	if got := sendForOneSecond(left, now.Add(time.Second)); got >= all {
		t.Errorf("%d requests reach the cold server just after eight of ten are gone, want fewer than %d", got, all)
	}
	if got := sendForOneSecond(left, now.Add(time.Minute)); got != all {
		t.Errorf("%d requests reach the cold server a minute later, want %d", got, all)
	}
}

// All proxies lose power for longer than their leases last and come back together.
// Each reads the store before the others' entries are in it.
func TestProxiesStartingTogetherDoNotOverloadColdServers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const bears = 3.1*1.5 + 5
	fleet, list := coldServerFleetJoinedAt(now, now)
	for i, k := range fleet {
		k.limitSharers = nil
		k.SetProxies(now, list[i:i+1])
	}
	if got := sendForOneSecond(fleet, now); float64(got) > bears {
		t.Errorf("%d requests reach the cold server in the first second, want at most %.1f", got, bears)
	}
	now = now.Add(startupGrace)
	for _, k := range fleet {
		k.SetProxies(now, list)
	}
	if got := sendForOneSecond(fleet, now); got == 0 || float64(got) > bears {
		t.Errorf("%d requests reach the cold server once the others are known, want 1 to %.1f", got, bears)
	}
}
