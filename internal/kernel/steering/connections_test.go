package steering

import (
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// A server hangs: it takes requests and answers none. All proxies go on sending
// there until their time-outs end, each over connections of its own. Past what it
// accepts the server resets connections, also those with health checks or with
// requests of others.
func TestProxiesShareTheConnectionsOfAServer(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct{ connections, each int }{{0, 50}, {50, 4}, {20, 1}, {2, 1}} {
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
					t.Errorf("refused with not run: %t, come back after %s, want a time and that it has not run", d.NotRun, d.RetryAfter)
				}
			}
			if sent != c.each {
				t.Errorf("server accepts %d: proxy %d of %d sends %d at a time, want %d", c.connections, i, len(fleet), sent, c.each)
			}
		}
	}
}

// All connections that this proxy may hold to an object's home are in use. While the
// home answers it is busy, and a request that ran cold elsewhere would make things
// worse; once it answers nothing it hangs, and its objects need another server.
func TestObjectLeavesAFullHomeOnlyIfItHangs(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := threeRegionKernel(now, 200*time.Millisecond)
	table := *k.table
	table.Services = map[string]*routing.Service{"service": {Name: "service", Connections: 3}}
	k.table = &table
	ask := func(at time.Time) (*ActiveRequest, Decision) {
		return k.BeginRequest(at, Request{ID: "r", Host: "host", Path: "/x", Object: "1"})
	}
	first, d := ask(now)
	home := d.Server.ID
	k.EndAttempt(now, first, Attempt{Result: ResultAnswered})
	for range k.maxConnections(k.eligibleService("service")) {
		if _, d = ask(now); d.Server == nil || d.Server.ID != home {
			t.Fatalf("a request with a free connection gets %+v, want server %s", d, home)
		}
	}
	if _, d = ask(now); d.Server != nil || !d.NotRun || d.Reason != ReasonOverload || d.RetryAfter <= 0 {
		t.Errorf("while the home is busy: got %+v, want it refused with a time to come back", d)
	}
	if _, d = ask(now.Add(busyTargets * 200 * time.Millisecond)); d.Server == nil || d.Server.ID == home {
		t.Errorf("once the home hangs: got %+v, want another server", d)
	}
}
