package steering

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// replicaKernel returns the kernel of one of three proxies of a region, with eight servers in each
// of two regions.
func replicaKernel(now time.Time, name string, off ...Mechanism) *Kernel {
	domains := map[string]string{"north-a": "north", "south-a": "south"}
	k := New(Config{Name: name, Domain: "north-a", Region: "north", RegionOf: domains, Off: off})
	var proxies []Proxy
	for _, n := range []string{"one", "two", "three"} {
		proxies = append(proxies, Proxy{Name: n, Domain: "north-a", Region: "north"})
	}
	k.SetProxies(now, proxies)
	k.SetTable(stickyTable(time.Second))
	for domain := range domains {
		k.RecordRoundTrip(domain, 10*time.Millisecond)
		for i := range 8 {
			k.RegisterServer(now, routing.Server{ID: fmt.Sprintf("%s-%d", domain, i), Service: "service", Domain: domain, Slots: 4})
		}
	}
	return k
}

// countByServer sends requests for an object, evenly spaced over ten seconds and each ended at
// once, and counts them by server.
func countByServer(k *Kernel, now time.Time, object string, requests int) map[*server]int {
	counts := make(map[*server]int)
	for i := range requests {
		req, d := k.BeginRequest(now.Add(time.Duration(i)*10*time.Second/time.Duration(requests)), Request{ID: "r", Host: "host", Path: "/x", Object: object})
		if d.Server != nil {
			counts[req.server]++
			req.server.inFlight--
		}
	}
	return counts
}

// One object is requested forty times a second, which needs three times the slots of its home. The
// requests queued there while seven other servers of the region were idle. A hot object must be
// replicated to several servers of its home's region, the same ones at all proxies. An object that
// is requested now and then stays at its home.
func TestHotObjectHasReplicasInItsRegion(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	one, two := replicaKernel(now, "one"), replicaKernel(now, "two")
	// Each of three proxies sees a third of forty requests a second.
	a, b := countByServer(one, now, "1", 133), countByServer(two, now, "1", 133)
	if len(a) < 3 {
		t.Errorf("the requests go to %d servers, want at least three", len(a))
	}
	regions := make(map[string]bool)
	common := 0
	for s := range a {
		regions[s.region] = true
		if two.servers[s.id] != nil && b[two.servers[s.id]] > 0 {
			common++
		}
	}
	if len(regions) != 1 {
		t.Errorf("the replicas are in %d regions, want only that of the home", len(regions))
	}
	if common < min(len(a), len(b))-1 {
		t.Errorf("two proxies use %d and %d servers, %d of them in common, want nearly all", len(a), len(b), common)
	}
	if rare := countByServer(one, now.Add(time.Minute), "2", 20); len(rare) != 1 {
		t.Errorf("an object requested twice a second goes to %d servers, want only its home", len(rare))
	}
	for id := range two.servers {
		if home := two.homes(&ActiveRequest{Request: Request{Object: "1"}, Route: two.table.Routes["route"], allowedRegions: allRegions}, two.eligibleService("service"))[0]; id != home {
			two.servers[id].recordFailure(now.Add(10*time.Second), true)
		}
	}
	if c := countByServer(two, now.Add(10*time.Second), "1", 10); len(c) != 1 {
		t.Errorf("with all replicas ejected, the requests go to %d servers, want only the healthy home", len(c))
	}
	if off := countByServer(replicaKernel(now, "one", MechanismReplicas), now, "1", 133); len(off) != 1 {
		t.Errorf("with replicas off, the requests go to %d servers, want only the home", len(off))
	}
}
