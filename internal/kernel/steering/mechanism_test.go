package steering

import (
	"strings"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// If an operator misspells a mechanism, the error must name the wrong one and list the existing
// ones.
func TestUnknownMechanismErrorListsMechanisms(t *testing.T) {
	var m Mechanism
	err := m.UnmarshalText([]byte("mixin"))
	if err == nil || !strings.Contains(err.Error(), `"mixin"`) || !strings.Contains(err.Error(), string(MechanismFailover)) {
		t.Errorf("error is %v", err)
	}
	for _, want := range Mechanisms() {
		if err := m.UnmarshalText([]byte(want)); err != nil || m != want {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// Operators switch homes off. Requests then went to the least loaded server of all regions, and a
// burst of one region's callers moved more of them to other regions at once than is allowed. The
// region must be drawn in the same proportions as objects are assigned.
func TestRegionsKeepTheirSharesWithoutHomes(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := New(Config{Name: "proxy", Domain: "north-a", Region: "north", RegionOf: regionOf, Off: []Mechanism{MechanismHomes}})
	k.SetTable(routing.NewTable(1, []*routing.Route{{
		Name: "route", Host: "host", Prefix: "/a/", Sticky: true, Attempts: 1, Timeout: 2 * time.Second, Target: time.Second, Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
	}}, nil, routing.Limits{}))
	for id, domain := range map[string]string{"n": "north-a", "s": "south-a"} {
		k.RegisterServer(now, routing.Server{ID: id, Service: "service", Domain: domain, Slots: 100})
	}
	southShare := func(inFlight int) float64 {
		south := 0
		var requests []*ActiveRequest
		for range inFlight {
			req, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/x", Object: "o"})
			if d.Server != nil && d.Server.ID == "s" {
				south++
			}
			requests = append(requests, req)
		}
		for _, req := range requests {
			k.EndAttempt(now, req, Attempt{Result: ResultResponded})
		}
		return float64(south) / float64(inFlight)
	}
	if steady, burst := southShare(50), southShare(150); burst-steady > 0.15 {
		t.Errorf("%.2f of the requests run in the other region, %.2f in a burst, want at most 0.15 more", steady, burst)
	}
}
