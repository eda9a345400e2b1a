package steering

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// Callers of one region come in a burst, on a route that is not sticky. Its servers
// have five times what they run at once. Where each request went to the idlest server
// of all regions, a third of them ran in another region within two seconds, and
// operators allow 0.15 to shift.
func TestBurstOnANonStickyRouteDoesNotShiftRegions(t *testing.T) {
	const requests, allowed = 80, 0.15
	now := time.Unix(1_000_000, 0)
	k := threeRegionKernel(now, 200*time.Millisecond)
	plain := *k.table.Match("host", "/")
	plain.Sticky = false
	k.SetTable(routing.NewTable(2, []*routing.Route{&plain}, nil, routing.Limits{}))
	shares := func(end bool) map[string]float64 {
		of := make(map[string]float64)
		for n := range requests {
			f, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/x", Object: fmt.Sprintf("%x", n)})
			if d.Server == nil {
				t.Fatalf("request %d got %+v, want a server", n, d)
			}
			of[f.server.region] += 1.0 / requests
			if end {
				k.EndAttempt(now, f, Attempt{Result: ResultAnswered})
			}
		}
		return of
	}
	calm, burst := shares(true), shares(false)
	for _, region := range k.regions {
		if moved := math.Abs(burst[region] - calm[region]); moved > allowed/2 {
			t.Errorf("%s runs %.2f of the requests in calm and %.2f in a burst, want %.2f apart at most", region, calm[region], burst[region], allowed/2)
		}
	}
}

// A region's servers are all out. Its callers' requests must go to another rather
// than be refused.
func TestNonStickyRequestsLeaveARegionWithoutServers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := threeRegionKernel(now, 200*time.Millisecond)
	plain := *k.table.Match("host", "/")
	plain.Sticky = false
	k.SetTable(routing.NewTable(2, []*routing.Route{&plain}, nil, routing.Limits{}))
	ejectServers(k, now, "north-a-0", "north-a-1", "north-a-2", "north-a-3")
	for n := range 50 {
		if _, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/x"}); d.Server == nil || d.Server.Domain == "north-a" {
			t.Fatalf("request %d got %+v, want a server of another region", n, d)
		}
	}
}
