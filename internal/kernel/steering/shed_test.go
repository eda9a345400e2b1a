package steering

import (
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// shedKernel makes a proxy with one service, a route that is urgent and one that
// is not.
func shedKernel(now time.Time) *Kernel {
	k := New(Config{
		Name: "p", Domain: "north-a", Region: "north", RegionOf: regionOf,
		Bounds: Bounds{Retry: RetryBudget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}},
	})
	var routes []*routing.Route
	for priority, prefix := range []string{"/urgent/", "/plain/"} {
		routes = append(routes, &routing.Route{
			Name: prefix, Host: "host", Prefix: prefix, Idempotent: true, Sticky: true, Attempts: 2, Timeout: time.Second,
			Target: 600 * time.Millisecond, Priority: priority, Parts: []routing.Part{{Service: "service", Weight: 1}},
		})
	}
	k.SetTable(routing.NewTable(1, routes, nil, routing.Limits{}))
	k.RegisterServer(now, routing.Server{ID: "s", Service: "service", Domain: "north-a", Slots: 4})
	return k
}

// sendMany sends requests that meet a queue, and counts those that are refused.
func (k *Kernel) sendMany(t *testing.T, now time.Time, path string, waiting int) (refused int) {
	t.Helper()
	const n = 400
	for i := range n {
		f, d := k.BeginRequest(now.Add(time.Duration(i)*time.Millisecond), Request{Host: "host", Path: path})
		if d.Server == nil {
			refused++
			if !d.NotRun || d.RetryAfter <= 0 || d.Reason != ReasonQueuesTooLong {
				t.Fatalf("refused with %+v, want not run, with a time to come back", d)
			}
			continue
		}
		k.EndAttempt(now.Add(time.Duration(i)*time.Millisecond), f, Attempt{Result: ResultAnswered, Loaded: true, Running: 4, Waiting: waiting})
	}
	return refused
}

// The servers stand at queues in which every answer comes late. Some callers are
// refused, so that the others are answered in time; of two kinds of requests the
// less urgent gives way.
func TestOverloadRefusesLessUrgentRequestsFirst(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := shedKernel(now)
	if got := k.sendMany(t, now, "/plain/x", 0); got != 0 {
		t.Errorf("%d are refused though nobody waits, want none", got)
	}
	now = now.Add(time.Second)
	plain := k.sendMany(t, now, "/plain/x", 8)
	if plain == 0 {
		t.Error("none of the less urgent are refused though twice as many wait as can be answered in time")
	}
	if got := k.sendMany(t, now, "/urgent/x", 8); got >= plain {
		t.Errorf("%d of the urgent are refused and %d of the others, want fewer", got, plain)
	}
}

// A few are too many. A caller that is refused comes back while it can still be
// answered within the target; one second later any answer would be late. Where
// most are refused it had better wait for the overload to end.
func TestRefusedCallersRetryWithinTheTarget(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		waiting int
		within  time.Duration
		late    bool
	}{{8, 300 * time.Millisecond, false}, {40, maxRetryAfter, true}} {
		k := shedKernel(now)
		longest := time.Duration(0)
		for i := range 400 {
			at := now.Add(time.Duration(i) * time.Millisecond)
			f, d := k.BeginRequest(at, Request{Host: "host", Path: "/plain/x"})
			if d.Server == nil {
				longest = max(longest, d.RetryAfter)
				continue
			}
			k.EndAttempt(at, f, Attempt{Result: ResultAnswered, Loaded: true, Running: 4, Waiting: c.waiting})
		}
		if longest == 0 || longest > c.within || (longest > maxRetryAfter/2) != c.late {
			t.Errorf("%d waiting: told to come back after %s at most, want up to %s", c.waiting, longest, c.within)
		}
	}
}
