package steering

import (
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// speedKernel returns a kernel with two servers of 4 slots, one request for the object "o" done at
// each of the given ones, and a function that runs another request.
func speedKernel(sticky bool, warm ...string) (*Kernel, func(elapsed time.Duration, a Attempt) string) {
	now := time.Unix(1_000_000, 0)
	k := New(Config{Name: "proxy", Domain: "north-a", Region: "north", RegionOf: regionOf})
	k.SetTable(routing.NewTable(1, []*routing.Route{{
		Name: "route", Host: "host", Prefix: "/", Sticky: sticky, Attempts: 1, Timeout: 2 * time.Second, Target: 300 * time.Millisecond,
		Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
	}}, nil, routing.Limits{}))
	for _, id := range []string{"a", "b"} {
		k.RegisterServer(now, routing.Server{ID: id, Service: "service", Domain: "north-a", Slots: 4})
	}
	for _, id := range warm {
		k.servers[id].recordObject(placing.Object{Route: "route", Name: "o"}, now)
		k.service("service").markWarm(now, k.servers[id], placing.Object{Route: "route", Name: "o"})
	}
	return k, func(elapsed time.Duration, a Attempt) string {
		req, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/", Object: "o"})
		now = now.Add(elapsed)
		a.Result, a.Loaded = max(a.Result, ResultResponded), true
		k.EndAttempt(now, req, a)
		return d.Server.ID
	}
}

// A slow home keeps its objects, because all other servers would run them cold. Among servers that
// are equally warm, and on routes without objects, the faster one must get the request, until the
// report is out of date.
func TestReportedSpeedIsComparedAtEqualWarmth(t *testing.T) {
	for name, c := range map[string]struct {
		sticky bool
		warm   []string
		moves  bool
	}{
		"warm home only":    {true, []string{"a"}, false},
		"both warm":         {true, []string{"a", "b"}, true},
		"without an object": {false, nil, true},
	} {
		k, run := speedKernel(c.sticky, c.warm...)
		first := run(time.Millisecond, Attempt{Running: 4, Waiting: 8, WorkPercent: 2000})
		if got := run(time.Millisecond, Attempt{WorkPercent: 100}); (got != first) != c.moves {
			t.Errorf("%s: the next request after a report of 2000%% by %s went to %s, want another server: %t", name, first, got, c.moves)
		}
		slow := k.servers[first]
		if c.moves && slow.reported.Factor(slow.reportedAt.Add(loadReportTTL)) != 1 {
			t.Errorf("%s: the report has an effect after %v, want none", name, loadReportTTL)
		}
	}
}

// If a reported slowdown was also learned from durations, a server would be expected to take six
// times as long instead of 2.5 times, and be avoided long after it is fast again.
func TestReportedSpeedIsNotLearnedAgain(t *testing.T) {
	k, run := speedKernel(true, "a")
	const usual = 100 * time.Millisecond
	work := usual + defaultRegionRTT
	for range 30 {
		run(work, Attempt{WorkPercent: 100})
	}
	home := k.servers["a"]
	estimate := *k.service("service").workByRoute["route"]
	for range 10 {
		run(usual*5/2+defaultRegionRTT, Attempt{WorkPercent: 250})
		if home.slowdown > 1.05 {
			t.Fatalf("learned slowdown is %.2f after reported ones, want about 1", home.slowdown)
		}
	}
	if got := k.service("service").workByRoute["route"].warm; got > estimate.warm*21/20 {
		t.Errorf("warm work is estimated as %v after reported slowdowns, want about the %v from before", got, estimate.warm)
	}
	for range 10 {
		run(4*usual+defaultRegionRTT, Attempt{WorkPercent: 100})
	}
	if home.slowdown < 1.5 {
		t.Errorf("learned slowdown is %.2f after unreported ones of 4, want more than 1.5", home.slowdown)
	}
}

// A server was registered with 4 slots and has reduced them to 2. A rejection with both in use is
// that of a full server, not one at random, and its queue is as long as 2 slots make it.
func TestReportedSlotsTakePrecedence(t *testing.T) {
	k, run := speedKernel(true, "a")
	id := run(time.Millisecond, Attempt{Result: ResultRejected, Running: 2, Slots: 2})
	s := k.servers[id]
	now := s.reportedAt
	if s.usable(now) {
		t.Error("server is usable just after it rejected a request with all reported slots in use, want a pause")
	}
	if got, old := s.usableSlots(now), s.usableSlots(now.Add(loadReportTTL)); got != 2 || old != 4 {
		t.Errorf("got %d usable slots and %d when the report is out of date, want 2 and 4", got, old)
	}
}

// An operator switches the mechanism off during an incident with wrong reports.
func TestReportedSpeedCanBeDisabled(t *testing.T) {
	k, run := speedKernel(false)
	k.disabled[MechanismReportedSpeed] = true
	s := k.servers[run(time.Millisecond, Attempt{Slots: 1, WorkPercent: 300})]
	if got, factor := s.usableSlots(s.reportedAt), s.reported.Factor(s.reportedAt); got != 4 || factor != 1 {
		t.Errorf("got %d slots and factor %v, want the registered 4 and 1", got, factor)
	}
}

// One server reports a speed that has nothing to do with how long its work takes. The estimate of
// the work is that of all servers of the service: a wrong one hides queues from load shedding and
// makes the other servers look slow.
func TestWrongSpeedReportsKeepWorkEstimate(t *testing.T) {
	for _, percent := range []int{2000, 10} {
		for _, sticky := range []bool{true, false} {
			k, run := speedKernel(sticky, "a")
			const work = 100 * time.Millisecond
			for range 200 {
				run(work+defaultRegionRTT, Attempt{WorkPercent: 100})
			}
			for range 200 {
				run(work+defaultRegionRTT, Attempt{WorkPercent: percent})
			}
			if got := k.service("service").workByRoute["route"].expected(sticky, 300*time.Millisecond); got < work*9/10 || got > work*11/10 {
				t.Errorf("sticky %t: work is estimated as %v after reports of %d%%, want about %v", sticky, got, percent, work)
			}
		}
	}
}

// The baseline policies compare counts and hashes. Guards against measurements in which a reported
// speed, which is a duration, decides instead.
func TestBaselinePlacersIgnoreReportedSpeed(t *testing.T) {
	k, run := speedKernel(false)
	k.placer = placers["round-robin"]
	sent := make(map[string]int)
	for range 20 {
		sent[run(time.Millisecond, Attempt{WorkPercent: 100 + 1900*(sent["a"]%2)})]++
	}
	if sent["a"] != 10 || sent["b"] != 10 {
		t.Errorf("got %v requests, want 10 at each server", sent)
	}
}

// Without reported speeds, servers must be chosen as before: of equal costs, the first in the list
// wins, which is the home, even if it is compared apart from servers that are warm.
func TestHomeWinsAtEqualCost(t *testing.T) {
	_, run := speedKernel(true)
	home := run(time.Millisecond, Attempt{})
	other := map[string]string{"a": "b", "b": "a"}[home]
	k, run := speedKernel(true, other)
	k.service("service").workByRoute["route"] = &workEstimate{warm: 100 * time.Millisecond, cold: 100 * time.Millisecond, coldSamples: 1}
	if got := run(time.Millisecond, Attempt{}); got != home {
		t.Errorf("request went to %s, want the home %s", got, home)
	}
}
