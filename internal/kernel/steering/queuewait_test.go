package steering

import (
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// A short request queues behind long ones of another route. Guards against an estimate with its own
// work: it expected a wait of 0.1 s where the queue takes more than a second.
func TestExpectedWaitUsesWorkOfAllRoutes(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var last Event
	k := New(Config{Name: "p", Domain: "north-a", Region: "north", RegionOf: regionOf, Observe: func(e Event) { last = e }})
	var routes []*routing.Route
	for name, target := range map[string]time.Duration{"short": 300 * time.Millisecond, "long": 5 * time.Second} {
		routes = append(routes, &routing.Route{
			Name: name, Host: "host", Prefix: "/" + name + "/", Attempts: 1, Timeout: 10 * time.Second, Target: target,
			Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
		})
	}
	k.SetTable(routing.NewTable(1, routes, nil, routing.Limits{}))
	k.RegisterServer(now, routing.Server{ID: "s", Service: "service", Domain: "north-a", Slots: 4})
	for range 20 {
		req, _ := k.BeginRequest(now, Request{Host: "host", Path: "/long/"})
		now = now.Add(4 * time.Second)
		k.EndAttempt(now, req, Attempt{Result: ResultResponded, Loaded: true, Running: 4, Waiting: 1})
	}
	req, _ := k.BeginRequest(now, Request{Host: "host", Path: "/short/"})
	k.EndAttempt(now, req, Attempt{Result: ResultResponded})
	if got := last.Steps[0].ExpectedWait; got < time.Second {
		t.Errorf("expected wait of a short request behind long ones: got %v, want more than a second", got)
	}
}
