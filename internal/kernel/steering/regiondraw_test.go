package steering

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// A burst of requests from callers of one region, on a non-sticky route, brings its servers five
// times what they can run at once. When each request went to the least loaded server of all
// regions, a third of them moved to another region within two seconds. Operators allow a shift of
// 0.15.
func TestBurstOnANonStickyRouteDoesNotShiftRegions(t *testing.T) {
	const requests, allowed = 80, 0.15
	now := time.Unix(1_000_000, 0)
	k := threeRegionKernel(now, 200*time.Millisecond)
	nonSticky := *k.table.Match("host", "/")
	nonSticky.Sticky = false
	k.SetTable(routing.NewTable(2, []*routing.Route{&nonSticky}, nil, routing.Limits{}))
	sharesByRegion := func(end bool) map[string]float64 {
		byRegion := make(map[string]float64)
		for n := range requests {
			req, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/x", Object: fmt.Sprintf("%x", n)})
			if d.Server == nil {
				t.Fatalf("request %d got %+v, want a server", n, d)
			}
			byRegion[req.server.region] += 1.0 / requests
			if end {
				k.EndAttempt(now, req, Attempt{Result: ResultResponded})
			}
		}
		return byRegion
	}
	steady, burst := sharesByRegion(true), sharesByRegion(false)
	for _, region := range k.regions {
		if moved := math.Abs(burst[region] - steady[region]); moved > allowed/2 {
			t.Errorf("%s runs %.2f of the requests without a burst and %.2f in one, want at most %.2f apart", region, steady[region], burst[region], allowed/2)
		}
	}
}

// All servers of a region are ejected. Requests of its callers must go to another region rather
// than be rejected.
func TestNonStickyRequestsLeaveARegionWithoutServers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := threeRegionKernel(now, 200*time.Millisecond)
	nonSticky := *k.table.Match("host", "/")
	nonSticky.Sticky = false
	k.SetTable(routing.NewTable(2, []*routing.Route{&nonSticky}, nil, routing.Limits{}))
	ejectServers(k, now, "north-a-0", "north-a-1", "north-a-2", "north-a-3")
	for n := range 50 {
		if _, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/x"}); d.Server == nil || d.Server.Domain == "north-a" {
			t.Fatalf("request %d got %+v, want a server of another region", n, d)
		}
	}
}
