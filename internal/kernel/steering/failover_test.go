package steering

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// threeRegionKernel returns the kernel of a proxy in the north with four servers in each of three
// regions and one route, which may be restricted to some of them.
func threeRegionKernel(now time.Time, target time.Duration, regions ...string) *Kernel {
	domains := map[string]string{"north-a": "north", "south-a": "south", "west-a": "west"}
	k := New(Config{Name: "proxy-north", Domain: "north-a", Region: "north", RegionOf: domains})
	k.SetTable(stickyTable(target, regions...))
	for domain := range domains {
		k.RecordRoundTrip(domain, 50*time.Millisecond)
		for i := range 4 {
			k.RegisterServer(now, routing.Server{ID: fmt.Sprintf("%s-%d", domain, i), Service: "service", Domain: domain, Slots: 4})
		}
	}
	return k
}

// stickyTable returns a table with one sticky route to one service, which may be restricted to some
// regions.
func stickyTable(target time.Duration, regions ...string) *routing.Table {
	route := &routing.Route{
		Name: "route", Host: "host", Prefix: "/", Idempotent: true, Sticky: true, Attempts: 2, Timeout: time.Second, Target: target, Regions: regions,
		Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
	}
	return routing.NewTable(1, []*routing.Route{route}, nil, routing.Limits{})
}

// ejectServers ejects servers, as failed connections do.
func ejectServers(k *Kernel, now time.Time, ids ...string) {
	for _, id := range ids {
		k.servers[id].recordFailure(now, true)
	}
}

// countByRegion counts by region where requests for 96 objects are sent, and how many objects with
// a healthy home are sent elsewhere.
func countByRegion(k *Kernel, now time.Time) (byRegion map[string]int, moved int) {
	byRegion = make(map[string]int)
	for n := range 96 {
		object := fmt.Sprintf("%x", n)
		req, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/x", Object: object})
		if home := k.servers[k.homes(req, k.eligibleService("service"))[0]]; home.ejections == 0 && home.id != d.Server.ID {
			moved++
		}
		byRegion[req.server.region]++
		req.server.inFlight--
	}
	return byRegion, moved
}

// Half of a region's servers are lost with their failure domain and stay registered for seconds. If
// all their objects went to the other half, these servers would get twice their share while other
// regions have room.
func TestObjectsOfLostServersFailOverToRegionsWithRoom(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := threeRegionKernel(now, 200*time.Millisecond)
	before, _ := countByRegion(k, now)
	ejectServers(k, now, "north-a-0", "north-a-1")
	after, moved := countByRegion(k, now)
	if moved > 0 {
		t.Errorf("%d objects with healthy homes moved, want none", moved)
	}
	if left := after["north"]; left < before["north"]/2+8 || left > before["north"]*8/10 {
		t.Errorf("%d of %d objects stay in the region that lost half of its servers, want about 0.69 of them", left, before["north"])
	}
}

// The queues of the other regions are long, too. Objects that failed over to them would run cold
// and make the queues longer.
func TestObjectsDoNotFailOverToOverloadedRegions(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := threeRegionKernel(now, 200*time.Millisecond)
	before, _ := countByRegion(k, now)
	ejectServers(k, now, "north-a-0", "north-a-1")
	for _, id := range []string{"south-a-0", "west-a-0"} {
		req, _ := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/x", Object: "1"})
		for range 10 {
			k.recordQueue(now, req, k.servers[id], 4, 12)
		}
	}
	if after, _ := countByRegion(k, now); after["north"] < before["north"] {
		t.Errorf("%d of %d objects stay in the region, want all", after["north"], before["north"])
	}
}

// An ejected server is due for a trial. If all its objects failed over, no request would show that
// it has recovered.
func TestServerDueForTrialGetsItsOwnObjects(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := threeRegionKernel(now, 200*time.Millisecond)
	ejectServers(k, now, "north-a-0", "north-a-1", "north-a-2", "north-a-3")
	now = now.Add(ejectionBase)
	tried := make(map[string]bool)
	for n := range 96 {
		req, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/x", Object: fmt.Sprintf("%x", n)})
		if req.server.region == "north" {
			tried[d.Server.ID] = true
		}
	}
	if len(tried) != 4 {
		t.Errorf("%d of 4 servers due for a trial get a request, want all", len(tried))
	}
}

// A route may be restricted to some regions, and the round trip to a region may take most of the
// route's target. Lost servers must not send requests to the regions excluded by either.
func TestFailoverUsesOnlySuitableRegions(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for name, c := range map[string]struct {
		k        *Kernel
		excluded []string
	}{
		"restricted to two regions": {threeRegionKernel(now, 200*time.Millisecond, "north", "south"), []string{"west"}},
		"too far":                   {threeRegionKernel(now, 60*time.Millisecond), []string{"south", "west"}},
	} {
		ejectServers(c.k, now, "north-a-0", "north-a-1")
		after, _ := countByRegion(c.k, now)
		for _, region := range c.excluded {
			if after[region] > 0 {
				t.Errorf("%s: %d objects go to %s, want none", name, after[region], region)
			}
		}
	}
}

// One server of a region is ejected. The others have all slots busy and are skipped for a moment.
// They are healthy, so their objects must not leave the region.
func TestObjectsOfABusyServerStayInTheRegion(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := threeRegionKernel(now, 200*time.Millisecond)
	ejectServers(k, now, "north-a-0")
	for _, id := range []string{"north-a-1", "north-a-2", "north-a-3"} {
		k.servers[id].recordRejection(now, Attempt{Result: ResultRejected, Loaded: true, Running: 4, Waiting: 12})
	}
	for n := range 96 {
		req, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/x", Object: fmt.Sprintf("%x", n)})
		homes := k.homes(req, k.eligibleService("service"))
		if got := k.failover(now, req, k.eligibleService("service"), homes); homes[0] != "north-a-0" && got[0] != homes[0] {
			t.Fatalf("object %x with home %s gets %s first (%+v), want its home to stay first", n, homes[0], got[0], d)
		}
	}
}
