package steering

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	// maxPlacementShift is the share of a region's requests that placement may move within two seconds.
	maxPlacementShift = 0.05
)

// smallRegionKernel returns the kernel of a proxy in the north, which has a ninth of the servers of
// three regions, with an urgent route and an archive.
func smallRegionKernel(now time.Time, sticky bool, c Config) *Kernel {
	c.Name, c.Domain, c.Region = "proxy-north", "north-a", "north"
	c.RegionOf = map[string]string{"north-a": "north", "south-a": "south", "west-a": "west"}
	k := New(c)
	k.SetProxies(now, []Proxy{
		{Name: "proxy-north", Domain: "north-a", Region: "north"}, {Name: "proxy-south", Domain: "south-a", Region: "south"},
		{Name: "proxy-west", Domain: "west-a", Region: "west"},
	})
	table := twoRouteTable(1)
	table.Routes["urgent"].Sticky, table.Routes["archive"].Sticky = sticky, sticky
	k.SetTable(table)
	for domain, n := range map[string]int{"north-a": 2, "south-a": 8, "west-a": 8} {
		k.RecordRoundTrip(domain, 50*time.Millisecond)
		for i := range n {
			k.RegisterServer(now, routing.Server{ID: fmt.Sprintf("%s-%d", domain, i), Service: "service", Domain: domain, Slots: 30})
		}
	}
	return k
}

// runMix sends forty requests a second, three of four urgent, whose runs take 90 and 450 ms. It
// returns the local share of each route in each window of 2 s, and the largest share of the mix
// whose placement changed the region from one window to the next.
func runMix(t *testing.T, k *Kernel, now time.Time, windows int) (local []map[string]float64, maxShift float64) {
	var previous []string
	for w := range windows {
		count, shares := make(map[string]float64), make(map[string]float64)
		for i := range 80 {
			now = now.Add(25 * time.Millisecond)
			k.Tick(now)
			route, work := "urgent", 90*time.Millisecond
			if i%4 == 0 {
				route, work = "archive", 450*time.Millisecond
			}
			// The objects are new ones in each window: a server that is warm for one keeps it.
			object := fmt.Sprintf("%x", (w*80+i)%4000)
			req, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/" + route + "/x", Object: object})
			if d.Server == nil {
				t.Fatalf("window %d: got %+v, want a server", w, d)
			}
			count[route]++
			if req.server.region == "north" {
				shares[route]++
			}
			k.EndAttempt(now.Add(req.server.rtt.roundTrip+work), req, Attempt{Result: ResultResponded})
		}
		for route := range count {
			shares[route] /= count[route]
		}
		placed, shift := placedRegions(k), 0.0
		if k.table.Routes["urgent"].Sticky {
			for i := range previous {
				if placed[i] != previous[i] {
					shift += 1 / float64(len(placed))
				}
			}
		} else if previous != nil {
			shift = distributionShift(previous, placed)
		}
		maxShift = max(maxShift, shift)
		previous, local = placed, append(local, shares)
	}
	return local, maxShift
}

// distributionShift returns the share of the mix that changes its region if the requests, which have
// no objects, are drawn anew: the total variation distance of the regions of each route.
func distributionShift(before, after []string) (shift float64) {
	type key struct {
		archive bool
		region  string
	}
	change := make(map[key]float64)
	for n := range after {
		change[key{n%4 == 0, after[n]}] += 1 / float64(len(after))
		change[key{n%4 == 0, before[n]}] -= 1 / float64(len(before))
	}
	for _, c := range change {
		shift += max(0, c)
	}
	return shift
}

// placedRegions returns the regions of a thousand requests of the mix: those of the homes of their
// objects, or, without objects, those that the same random numbers draw.
func placedRegions(k *Kernel) []string {
	var regions []string
	svc := k.eligibleService("service")
	for n := range 1000 {
		route := "urgent"
		if n%4 == 0 {
			route = "archive"
		}
		req := &ActiveRequest{Route: k.table.Routes[route], Service: "service", allowedRegions: allRegions}
		if req.Route.Sticky {
			req.Object = fmt.Sprintf("%x", n/4)
			regions = append(regions, svc.registered[k.homes(req, svc)[0]].region)
			continue
		}
		d := k.newRegionDistribution(req, svc, k.scopeOf(req))
		i, _ := slices.BinarySearch(d.cumulative, float64(n)/1000*d.cumulative[len(d.cumulative)-1])
		regions = append(regions, d.names[i])
	}
	return regions
}

// meanOf returns the mean local share of a route in the last windows.
func meanOf(local []map[string]float64, route string) float64 {
	sum := 0.0
	for _, w := range local[len(local)-5:] {
		sum += w[route] / 5
	}
	return sum
}

// A region has a ninth of the servers and a third of the callers. 0.62 of its urgent requests, with
// a target of 250 ms, went to other regions although the archive, with a target of 2 s, used the
// servers of the region. The step to the new placement must stay within the shift that operators
// permit, and be visible to them.
func TestUrgentRequestsStayInASmallRegion(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, sticky := range []bool{true, false} {
		events := 0
		k := smallRegionKernel(now, sticky, Config{Observe: func(e Event) {
			if e.Kind == EventLocalShareChanged && e.Region == "north" && e.Service == "service" && e.Route != "" && e.Share <= 1 {
				events++
			}
		}})
		local, maxShift := runMix(t, k, now, 40)
		if first := local[0]; math.Abs(first["urgent"]-0.36) > 0.16 {
			t.Errorf("sticky %v: at first %.2f of the urgent requests are local, want about 0.36", sticky, first["urgent"])
		}
		urgent, archive := meanOf(local, "urgent"), meanOf(local, "archive")
		if urgent < 0.85 || archive > 0.05 {
			t.Errorf("sticky %v: %.2f of the urgent requests and %.2f of the archive are local, want nearly all and few", sticky, urgent, archive)
		}
		if maxShift == 0 || maxShift > maxPlacementShift {
			t.Errorf("sticky %v: %.3f of the requests changed their region within two seconds, want some and at most %.2f", sticky, maxShift, maxPlacementShift)
		}
		if events == 0 {
			t.Errorf("sticky %v: no event reports the changes", sticky)
		}
	}
	off, _ := runMix(t, smallRegionKernel(now, true, Config{Off: []Mechanism{MechanismLocalCapacity}}), now, 20)
	if urgent, archive := meanOf(off, "urgent"), meanOf(off, "archive"); math.Abs(urgent-archive) > 0.15 {
		t.Errorf("switched off: %.2f of the urgent requests and %.2f of the archive are local, want equal shares", urgent, archive)
	}
}

// The servers of the small region leave and return while routes have local shares of their own. All
// requests must go to the other regions meanwhile, and those restricted to a region must stay there.
func TestLocalSharesWithoutLocalServers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := smallRegionKernel(now, true, Config{})
	runMix(t, k, now, 30)
	now = now.Add(time.Minute)
	k.SetDomainEvacuated(now, "north-a", true)
	if local, _ := runMix(t, k, now, 5); meanOf(local, "urgent") != 0 {
		t.Errorf("%.2f of the requests go to an evacuated domain", meanOf(local, "urgent"))
	}
	table := twoRouteTable(2)
	table.Routes["urgent"].Regions = []string{"south"}
	k.SetTable(table)
	for n := range 20 {
		req, d := k.BeginRequest(now.Add(10*time.Second), Request{ID: "r", Host: "host", Path: "/urgent/x", Object: fmt.Sprint(n)})
		if d.Server == nil || req.server.region != "south" {
			t.Fatalf("request %d of a route that is restricted to the south got %+v", n, d)
		}
	}
}

// The local shares are part of the state that a replay must reproduce, or the recordings of proxies
// with this mechanism would show differences that did not happen.
func TestReplayReproducesLocalShares(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var recording bytes.Buffer
	encoder := json.NewEncoder(&recording)
	k := smallRegionKernel(now, true, Config{Record: func(c Call) {
		if err := encoder.Encode(c); err != nil {
			t.Fatal(err)
		}
	}})
	local, _ := runMix(t, k, now, 30)
	if !slices.ContainsFunc(local, func(w map[string]float64) bool { return w["urgent"] > 0.7 }) {
		t.Error("the local shares did not change, so the test does not cover them")
	}
	result, err := ReplayCalls(&recording, "")
	if err != nil || result.Decisions == 0 || result.DifferenceCount > 0 {
		t.Errorf("replay: %d of %d decisions differ, %v, first %+v", result.DifferenceCount, result.Decisions, err, result.Differences)
	}
}
