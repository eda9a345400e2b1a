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
func TestProxiesStayWithinAServersConnections(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct{ connections, each int }{{0, 50}, {50, 4}, {20, 1}, {2, 1}} {
		fleet, _ := shareFleet(now)
		for i, k := range fleet {
			table := *k.table
			table.Services = map[string]*routing.Service{"service": {Name: "service", Connections: c.connections}}
			k.table = &table
			k.SetServer(now, routing.Server{ID: "hangs", Service: "service", Domain: "north-a", Slots: 1000})
			k.RemoveServer("cold")
			sent := 0
			for range 50 {
				_, d := k.Begin(now, Request{ID: "r", Host: "host", Path: "/a/x", Deadline: now.Add(time.Second)})
				if d.Server != nil {
					sent++
				} else if !d.NotRun || d.ComeBack <= 0 {
					t.Errorf("refused with not run: %t, come back after %s, want a time and that it has not run", d.NotRun, d.ComeBack)
				}
			}
			if sent != c.each {
				t.Errorf("server accepts %d: proxy %d of %d sends %d at a time, want %d", c.connections, i, len(fleet), sent, c.each)
			}
		}
	}
}
