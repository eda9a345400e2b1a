package steering

import (
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// A server is lost behind a cut and starts again under its id. A request that the
// earlier start had ends with the word that another server has the address. That
// must not take the new start away.
func TestResultFromBeforeARestartDoesNotRemoveTheServer(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fleet, _ := coldServerFleet(now)
	k := fleet[0]
	first := routing.Server{ID: "s", Service: "service", Domain: "north-a", Slots: 4, Started: time.UnixMilli(1000)}
	k.RemoveServer(now, "cold")
	k.RegisterServer(now, first)
	f, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/x", Deadline: now.Add(time.Second)})
	if d.Server == nil {
		t.Fatalf("not sent: %+v", d)
	}
	again := first
	again.Started = time.UnixMilli(2000)
	k.RegisterServer(now, again)
	k.EndAttempt(now, f, Attempt{Result: ResultWrongServer})
	if _, d := k.BeginRequest(now, Request{ID: "q", Host: "host", Path: "/a/x", Deadline: now.Add(time.Second)}); d.Server == nil {
		t.Errorf("the new start gets nothing: %+v", d)
	}
}

// A server that knew an object starts again under its id. It knows nothing, and a
// request for the object must be reckoned as a first run.
func TestRestartedServerIsNotWarm(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := New(Config{Name: "proxy", Domain: "north-a", Region: "north", RegionOf: regionOf})
	route := &routing.Route{
		Name: "route", Host: "host", Prefix: "/a/", Sticky: true, Attempts: 1, Timeout: time.Second, Target: time.Second,
		Parts: []routing.Part{{Service: "service", Weight: 1}},
	}
	k.SetTable(routing.NewTable(1, []*routing.Route{route}, nil, routing.Limits{}))
	ask := func() (warm bool) {
		k.observeCandidate = func(w Candidate) { warm = w.Warm }
		f, _ := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/x", Object: "o", Deadline: now.Add(time.Second)})
		k.EndAttempt(now, f, Attempt{Result: ResultAnswered})
		return warm
	}
	s := routing.Server{ID: "s", Service: "service", Domain: "north-a", Slots: 4, Started: time.UnixMilli(1000)}
	k.RegisterServer(now, s)
	if first, second := ask(), ask(); first || !second {
		t.Fatalf("taken to know the object: %t and then %t, want only after the first request", first, second)
	}
	s.Started = time.UnixMilli(2000)
	k.RegisterServer(now, s)
	if ask() {
		t.Error("a server that has just started is taken to know the object")
	}
}
