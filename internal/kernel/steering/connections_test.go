package steering

import (
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// A server hangs: it accepts requests and never responds. All proxies keep sending to it until
// their timeouts expire, each over its own connections. Beyond its connection limit the server
// resets connections, including those of health checks and of other requests.
func TestProxiesShareTheConnectionsOfAServer(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct{ connections, perProxy int }{{0, 50}, {50, 4}, {20, 1}, {2, 1}} {
		fleet, _ := coldServerFleet(now)
		for i, k := range fleet {
			table := *k.table
			table.Services = map[string]*routing.Service{"service": {Name: "service", Connections: c.connections}}
			k.table = &table
			k.RegisterServer(now, routing.Server{ID: "hangs", Service: "service", Domain: "north-a", Slots: 1000})
			k.RemoveServer(now, "cold")
			sent := 0
			for range 50 {
				_, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/x", Deadline: now.Add(time.Second)})
				if d.Server != nil {
					sent++
				} else if !d.NotRun || d.RetryAfter <= 0 {
					t.Errorf("rejected with NotRun %t and RetryAfter %s, want it not run and a retry delay", d.NotRun, d.RetryAfter)
				}
			}
			if sent != c.perProxy {
				t.Errorf("server accepts %d connections: proxy %d of %d has %d requests in flight, want %d", c.connections, i, len(fleet), sent, c.perProxy)
			}
		}
	}
}

// All connections that this proxy may open to an object's home are in use. While the home responds,
// it is only busy, and running the request cold on another server would add to the load. Once it no
// longer responds, it hangs, and its objects need another server.
func TestObjectLeavesAFullHomeOnlyIfItHangs(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := threeRegionKernel(now, 200*time.Millisecond)
	table := *k.table
	table.Services = map[string]*routing.Service{"service": {Name: "service", Connections: 3}}
	k.table = &table
	beginAt := func(at time.Time) (*ActiveRequest, Decision) {
		return k.BeginRequest(at, Request{ID: "r", Host: "host", Path: "/x", Object: "1"})
	}
	first, d := beginAt(now)
	home := d.Server.ID
	k.EndAttempt(now, first, Attempt{Result: ResultResponded})
	for range k.maxConnections(k.eligibleService("service")) {
		if _, d = beginAt(now); d.Server == nil || d.Server.ID != home {
			t.Fatalf("with a free connection: got %+v, want server %s", d, home)
		}
	}
	if _, d = beginAt(now); d.Server != nil || !d.NotRun || d.Reason != ReasonOverload || d.RetryAfter <= 0 {
		t.Errorf("while the home is busy: got %+v, want it rejected with a retry delay", d)
	}
	if _, d = beginAt(now.Add(busyTargets * 200 * time.Millisecond)); d.Server == nil || d.Server.ID == home {
		t.Errorf("once the home hangs: got %+v, want another server", d)
	}
}
