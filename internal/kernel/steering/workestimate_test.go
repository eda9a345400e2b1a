package steering

import (
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// An operator tests a new route of a service with requests of about a millisecond just before
// callers send requests whose cold runs take 880 ms. These were estimated at 1.4 ms. Using a server
// that is not warm for an object seemed to cost nothing, so objects ran cold at one server after
// the other, and each server with a cold run was considered twenty times too slow.
func TestWorkEstimateIsKeptPerRoute(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var sent Event
	k := New(Config{Name: "proxy", Domain: "north-a", Region: "north", RegionOf: regionOf, Observe: func(e Event) {
		for _, s := range e.Steps {
			if s.Kind == EventRequestSent {
				sent = s
			}
		}
	}})
	parts := []routing.WeightedService{{Service: "service", Weight: 1}}
	k.SetTable(routing.NewTable(1, []*routing.Route{
		{Name: "tried", Host: "host", Prefix: "/new/", Attempts: 1, Timeout: 2 * time.Second, Target: 600 * time.Millisecond, Parts: parts},
		{Name: "browse", Host: "host", Prefix: "/a/", Sticky: true, Attempts: 1, Timeout: 2 * time.Second, Target: 600 * time.Millisecond, Parts: parts},
	}, nil, routing.Limits{}))
	k.RegisterServer(now, routing.Server{ID: "s", Service: "service", Domain: "north-a", Slots: 4})
	run := func(path, object string, duration time.Duration) {
		req, _ := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: path, Object: object})
		now = now.Add(duration)
		k.EndAttempt(now, req, Attempt{Result: ResultResponded, Loaded: true})
	}
	for range 5 {
		run("/new/x", "", 1400*time.Microsecond)
	}
	run("/a/x", "o-1", 880*time.Millisecond)
	if want := 500 * time.Millisecond; sent.Expected < want {
		t.Errorf("a cold run is estimated at %v, want at least %v", sent.Expected, want)
	}
	if got := k.Status(now).Servers[0].Slowdown; got > 1.2 {
		t.Errorf("the server counts as %.1f times as slow as others, want 1.2 at most", got)
	}
	for n := range 20 {
		run("/a/x", "first-"+string(rune('a'+n)), 880*time.Millisecond)
	}
	if sent.Expected < 820*time.Millisecond || sent.Expected > 920*time.Millisecond {
		t.Errorf("after twenty cold runs of 880 ms, one is estimated at %v, want 820 to 920 ms", sent.Expected)
	}
}

// Routes may change with each configuration. The estimates of removed routes must not be kept.
func TestWorkEstimatesOfRemovedRoutesAreDropped(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := New(Config{Name: "proxy", Domain: "north-a", Region: "north", RegionOf: regionOf})
	table := func(version uint64, name string) {
		k.SetTable(routing.NewTable(version, []*routing.Route{{
			Name: name, Host: "host", Prefix: "/", Attempts: 1, Timeout: time.Second, Target: time.Second,
			Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
		}}, nil, routing.Limits{}))
	}
	k.RegisterServer(now, routing.Server{ID: "s", Service: "service", Domain: "north-a", Slots: 4})
	for version, name := range []string{"first", "second"} {
		table(uint64(version+1), name)
		req, _ := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/x"})
		k.EndAttempt(now.Add(time.Millisecond), req, Attempt{Result: ResultResponded})
	}
	if work := k.service("service").workByRoute; len(work) != 1 || work["second"] == nil {
		t.Errorf("there are estimates for %d routes, want only the second", len(work))
	}
}
