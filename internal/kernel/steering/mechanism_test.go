package steering

import (
	"strings"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// An operator misspells a mechanism on a bad night: the complaint lists those that
// there are.
func TestUnknownMechanismErrorListsMechanisms(t *testing.T) {
	var m Mechanism
	err := m.UnmarshalText([]byte("mixin"))
	if err == nil || !strings.Contains(err.Error(), `"mixin"`) || !strings.Contains(err.Error(), string(MechanismFailover)) {
		t.Errorf("complaint is %v", err)
	}
	for _, want := range Mechanisms() {
		if err := m.UnmarshalText([]byte(want)); err != nil || m != want {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// Operators switch homes off. Requests went to the idlest server of all regions then,
// and a burst of one region's callers moved more of them to other regions at once than
// is allowed. The region must be drawn by the same parts as objects are dealt out.
func TestRegionsKeepTheirSharesWithoutHomes(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := New(Config{Name: "proxy", Domain: "north-a", Region: "north", RegionOf: regionOf, Off: []Mechanism{MechanismHomes}})
	k.SetTable(routing.NewTable(1, []*routing.Route{{
		Name: "route", Host: "host", Prefix: "/a/", Sticky: true, Attempts: 1, Timeout: 2 * time.Second, Target: time.Second, Parts: []routing.Part{{Service: "service", Weight: 1}},
	}}, nil, routing.Limits{}))
	for id, domain := range map[string]string{"n": "north-a", "s": "south-a"} {
		k.RegisterServer(now, routing.Server{ID: id, Service: "service", Domain: domain, Slots: 100})
	}
	parts := func(inFlight int) float64 {
		south := 0
		var flights []*ActiveRequest
		for range inFlight {
			req, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/x", Object: "o"})
			if d.Server != nil && d.Server.ID == "s" {
				south++
			}
			flights = append(flights, req)
		}
		for _, req := range flights {
			k.EndAttempt(now, req, Attempt{Result: ResultAnswered})
		}
		return float64(south) / float64(inFlight)
	}
	if calm, burst := parts(50), parts(150); burst-calm > 0.15 {
		t.Errorf("%.2f of the requests run in the other region, in a burst %.2f", calm, burst)
	}
}
