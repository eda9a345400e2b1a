package steering

import (
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// shedKernel returns the kernel of a proxy with one service, an urgent route and a less urgent one.
func shedKernel(now time.Time) *Kernel {
	k := New(Config{
		Name: "p", Domain: "north-a", Region: "north", RegionOf: regionOf,
		Bounds: Bounds{Retry: ampleRetries},
	})
	var routes []*routing.Route
	for priority, prefix := range []string{"/urgent/", "/plain/"} {
		routes = append(routes, &routing.Route{
			Name: prefix, Host: "host", Prefix: prefix, Idempotent: true, Sticky: true, Attempts: 2, Timeout: time.Second,
			Target: 600 * time.Millisecond, Priority: priority, Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
		})
	}
	k.SetTable(routing.NewTable(1, routes, nil, routing.Limits{}))
	k.RegisterServer(now, routing.Server{ID: "s", Service: "service", Domain: "north-a", Slots: 4})
	return k
}

// sendMany sends requests to a server with the given number of waiting requests and counts the
// rejected ones.
func (k *Kernel) sendMany(t *testing.T, now time.Time, path string, waiting int) (rejected int) {
	t.Helper()
	const n = 400
	for i := range n {
		req, d := k.BeginRequest(now.Add(time.Duration(i)*time.Millisecond), Request{Host: "host", Path: path})
		if d.Server == nil {
			rejected++
			if !d.NotRun || d.RetryAfter <= 0 || d.Reason != ReasonQueuesTooLong {
				t.Fatalf("rejected with %+v, want it not run, with a retry delay", d)
			}
			continue
		}
		k.EndAttempt(now.Add(time.Duration(i)*time.Millisecond), req, Attempt{Result: ResultResponded, Loaded: true, Running: 4, Waiting: waiting})
	}
	return rejected
}

// The queues of the servers are so long that every response would be late. Some requests must be
// rejected so that the others get a response in time, the less urgent ones first.
func TestOverloadRejectsLessUrgentRequestsFirst(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := shedKernel(now)
	if got := k.sendMany(t, now, "/plain/x", 0); got != 0 {
		t.Errorf("%d are rejected without a queue, want none", got)
	}
	now = now.Add(time.Second)
	plain := k.sendMany(t, now, "/plain/x", 8)
	if plain == 0 {
		t.Error("no less urgent request is rejected although twice as many wait as can get a response in time")
	}
	if got := k.sendMany(t, now, "/urgent/x", 8); got >= plain {
		t.Errorf("%d urgent requests are rejected and %d less urgent ones, want fewer urgent ones", got, plain)
	}
}

// In a slight overload, a rejected caller must retry while it can still get a response within the
// target; a second later any response would be late. When most requests are rejected, it must wait
// longer, until the overload has ended.
func TestRejectedCallersRetryWithinTheTarget(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		waiting    int
		maxRetry   time.Duration
		overloaded bool
	}{{8, 300 * time.Millisecond, false}, {40, maxRetryAfter, true}} {
		k := shedKernel(now)
		longestRetry := time.Duration(0)
		for i := range 400 {
			at := now.Add(time.Duration(i) * time.Millisecond)
			req, d := k.BeginRequest(at, Request{Host: "host", Path: "/plain/x"})
			if d.Server == nil {
				longestRetry = max(longestRetry, d.RetryAfter)
				continue
			}
			k.EndAttempt(at, req, Attempt{Result: ResultResponded, Loaded: true, Running: 4, Waiting: c.waiting})
		}
		if longestRetry == 0 || longestRetry > c.maxRetry || (longestRetry > maxRetryAfter/2) != c.overloaded {
			t.Errorf("%d waiting: longest retry delay is %s, want at most %s", c.waiting, longestRetry, c.maxRetry)
		}
	}
}

// Long requests of low priority wait in the queues in which urgent ones wait, too. Their rejection
// must tell the operator why: the expected wait and the limit that it exceeded.
func TestRejectionForUrgentRequestsNamesWaitAndLimit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := shedKernel(now)
	var rejected Event
	k.config.Observe = func(e Event) {
		if e.Reason == ReasonUrgentFirst {
			rejected = e
		}
	}
	k.sendMany(t, now, "/urgent/x", 0)
	for i := range 400 {
		at := now.Add(time.Second + time.Duration(i)*time.Millisecond)
		if req, d := k.BeginRequest(at, Request{Host: "host", Path: "/plain/x"}); d.Server != nil {
			k.EndAttempt(at, req, Attempt{Result: ResultResponded, Loaded: true, Running: 4, Waiting: 8})
		}
	}
	if rejected.ExpectedWait <= rejected.WaitLimit || rejected.WaitLimit <= 0 || rejected.RetryAfter < rejected.ExpectedWait-rejected.WaitLimit {
		t.Errorf("got wait %v, limit %v, retry delay %v; want a wait above a positive limit and a delay of at least the excess", rejected.ExpectedWait, rejected.WaitLimit, rejected.RetryAfter)
	}
}
