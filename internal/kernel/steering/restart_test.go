package steering

import (
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// A server is lost behind a partition and restarts under its ID. A request sent to it before the
// restart ends with the result that another server has its address. This must not remove the
// restarted server.
func TestResultFromBeforeARestartDoesNotRemoveTheServer(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fleet, _ := coldServerFleet(now)
	k := fleet[0]
	first := routing.Server{ID: "s", Service: "service", Domain: "north-a", Slots: 4, Started: time.UnixMilli(1000)}
	k.RemoveServer(now, "cold")
	k.RegisterServer(now, first)
	req, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/x", Deadline: now.Add(time.Second)})
	if d.Server == nil {
		t.Fatalf("not sent: %+v", d)
	}
	restarted := first
	restarted.Started = time.UnixMilli(2000)
	k.RegisterServer(now, restarted)
	k.EndAttempt(now, req, Attempt{Result: ResultWrongServer})
	if _, d := k.BeginRequest(now, Request{ID: "q", Host: "host", Path: "/a/x", Deadline: now.Add(time.Second)}); d.Server == nil {
		t.Errorf("the restarted server gets no request: %+v", d)
	}
}

// A server that was warm for an object restarts under its ID. It is no longer warm, and a request
// for the object must be estimated as a cold run.
func TestRestartedServerIsNotWarm(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := New(Config{Name: "proxy", Domain: "north-a", Region: "north", RegionOf: regionOf})
	route := &routing.Route{
		Name: "route", Host: "host", Prefix: "/a/", Sticky: true, Attempts: 1, Timeout: time.Second, Target: time.Second,
		Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
	}
	k.SetTable(routing.NewTable(1, []*routing.Route{route}, nil, routing.Limits{}))
	wasWarm := func() (warm bool) {
		k.observeCandidate = func(w Candidate) { warm = w.Warm }
		req, _ := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/x", Object: "o", Deadline: now.Add(time.Second)})
		k.EndAttempt(now, req, Attempt{Result: ResultResponded})
		return warm
	}
	s := routing.Server{ID: "s", Service: "service", Domain: "north-a", Slots: 4, Started: time.UnixMilli(1000)}
	k.RegisterServer(now, s)
	if first, second := wasWarm(), wasWarm(); first || !second {
		t.Fatalf("warm for the object: %t and then %t, want only after the first request", first, second)
	}
	s.Started = time.UnixMilli(2000)
	k.RegisterServer(now, s)
	if wasWarm() {
		t.Error("a server that has just restarted counts as warm for the object")
	}
}
