package steering

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// replicaKernel is a proxy, one of three of its region, that has seen one object asked for
// so often that its home can't answer all.
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

// countByServer counts by server where requests for an object go that come evenly in ten
// seconds, each answered at once.
func countByServer(k *Kernel, now time.Time, object string, requests int) map[*server]int {
	counts := make(map[*server]int)
	for i := range requests {
		f, d := k.BeginRequest(now.Add(time.Duration(i)*10*time.Second/time.Duration(requests)), Request{ID: "r", Host: "host", Path: "/x", Object: object})
		if d.Server != nil {
			counts[f.server]++
			f.server.inFlight--
		}
	}
	return counts
}

// Callers ask for one object forty times a second, which takes three times the slots of
// its home: they waited there while seven servers of the region idled. It is spread over
// several servers of the home's region, the same ones at all proxies. An object that is
// asked for now and then keeps its home.
func TestHotObjectHasReplicasInItsRegion(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	one, two := replicaKernel(now, "one"), replicaKernel(now, "two")
	// Each of three proxies sees a third of forty requests a second.
	a, b := countByServer(one, now, "1", 133), countByServer(two, now, "1", 133)
	if len(a) < 3 {
		t.Errorf("the requests go to %d servers, want three at least", len(a))
	}
	regions := make(map[string]bool)
	same := 0
	for s := range a {
		regions[s.region] = true
		if two.servers[s.id] != nil && b[two.servers[s.id]] > 0 {
			same++
		}
	}
	if len(regions) != 1 {
		t.Errorf("the replicas stand in %d regions, want the home's alone", len(regions))
	}
	if same < min(len(a), len(b))-1 {
		t.Errorf("two proxies use %d and %d servers, %d of them in common, want nearly all", len(a), len(b), same)
	}
	if rare := countByServer(one, now.Add(time.Minute), "2", 20); len(rare) != 1 {
		t.Errorf("an object asked for twice a second goes to %d servers, want its home alone", len(rare))
	}
	for id := range two.servers {
		if home := two.homes(&ActiveRequest{Request: Request{Object: "1"}, Route: two.table.Routes["route"], allowedRegions: allRegions}, two.eligibleService("service"))[0]; id != home {
			two.servers[id].recordFailure(now.Add(10*time.Second), true)
		}
	}
	if c := countByServer(two, now.Add(10*time.Second), "1", 10); len(c) != 1 {
		t.Errorf("with all replicas out the requests go to %d servers, want the sound home alone", len(c))
	}
	if off := countByServer(replicaKernel(now, "one", MechanismReplicas), now, "1", 133); len(off) != 1 {
		t.Errorf("switched off, the requests go to %d servers, want the home alone", len(off))
	}
}
