package steering

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	// largeServersPerService, largeProxies and largeObjects are a deployment a quarter
	// of the target size: servers in each of four services, proxies, objects.
	largeServersPerService = 750
	largeProxies           = 300
	largeObjects           = 1200
)

// largeKernel is a proxy's kernel in a large deployment.
func largeKernel(now time.Time, coldFor time.Duration) *Kernel {
	k := New(Config{Name: "proxy-0", Domain: "north-a", Region: "north", RegionOf: regionOf, Bounds: Bounds{ColdFactor: 1.5, ColdSlack: 8}})
	domains := []string{"north-a", "north-b", "south-a"}
	var proxies []Proxy
	for i := range largeProxies {
		domain := domains[i%len(domains)]
		proxies = append(proxies, Proxy{Name: fmt.Sprintf("proxy-%d", i), Domain: domain, Region: regionOf[domain]})
	}
	k.SetProxies(now, proxies)
	var routes []*routing.Route
	var services []*routing.Service
	for s := range 4 {
		name := fmt.Sprint(s)
		routes = append(routes, &routing.Route{
			Name: name, Host: "host", Prefix: "/" + name + "/", Sticky: true, Attempts: 2, Timeout: time.Second, Target: time.Second,
			Parts: []routing.Part{{Service: name, Weight: 1}},
		})
		services = append(services, &routing.Service{Name: name, ColdStart: 3 * time.Second, ColdPerSecond: 3.1})
		for i := range largeServersPerService {
			k.RegisterServer(now, routing.Server{
				ID: fmt.Sprintf("i-%d-%d", s, i), Service: name, Domain: domains[i%len(domains)], Slots: 4, ColdFor: coldFor,
			})
		}
	}
	k.SetTable(routing.NewTable(1, routes, services, routing.Limits{}))
	return k
}

// sendRequest sends one request for an object of service 0 and takes its answer in.
func sendRequest(k *Kernel, now time.Time, n int) {
	f, d := k.BeginRequest(now, Request{Host: "host", Path: "/0/x", Object: fmt.Sprintf("%x", n%largeObjects), Deadline: now.Add(time.Second)})
	if d.Server != nil {
		k.EndAttempt(now, f, Attempt{Result: ResultAnswered})
	}
}

// BenchmarkServerChange is what one registration costs a proxy that serves:
// objects are asked for, a server of another service leaves, and they are asked
// for again. Dealt out anew over all pairs for any service it took 193 and
// 187 ms; for the one service and over the nearest servers 64 and 6.2 ms (eight
// processors, one run each; a VM of 0.16 cores takes six times as long).
func BenchmarkServerChange(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct{ name, service string }{{"same-service", "0"}, {"other-service", "1"}} {
		b.Run(c.name, func(b *testing.B) {
			k := largeKernel(now, 0)
			for n := range largeObjects {
				sendRequest(k, now, n)
			}
			drains := false
			for b.Loop() {
				drains = !drains
				k.RegisterServer(now, routing.Server{ID: "i-" + c.service + "-7", Service: c.service, Domain: "north-b", Slots: 4, Draining: drains})
				for n := 0; n < largeObjects; n += 12 {
					sendRequest(k, now, n)
				}
			}
		})
	}
}

// BenchmarkColdChoice is one request while all servers of its service are cold.
// With the proxies sorted for each server it took 72 ms, 1,300 times as long as
// with warm servers; with the own rank kept 0.079 ms, 1.5 times as long.
func BenchmarkColdChoice(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	for name, coldFor := range map[string]time.Duration{"warm": 0, "cold": time.Hour} {
		b.Run(name, func(b *testing.B) {
			k := largeKernel(now, coldFor)
			for n := range largeObjects {
				sendRequest(k, now, n)
			}
			n := 0
			for b.Loop() {
				n++
				sendRequest(k, now.Add(time.Duration(n)*time.Millisecond), n)
			}
		})
	}
}

// BenchmarkRegistrations takes in the registrations of a large fleet, as a
// proxy does that has just started. Grouped anew at each, 3,000 took 871 ms,
// 1,300 times as long as 100; grouped when next needed they take 2.1 ms, 27
// times as long as 100 (eight processors, one run of five each).
func BenchmarkRegistrations(b *testing.B) {
	for _, n := range []int{100, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			for b.Loop() {
				k := New(Config{Name: "p", Domain: "north-a", Region: "north", RegionOf: regionOf})
				for i := range n {
					k.RegisterServer(now, routing.Server{ID: fmt.Sprintf("i-%d", i), Service: fmt.Sprint(i % 4), Domain: "north-a", Slots: 4})
				}
				k.eligibleService("0")
			}
		})
	}
}
