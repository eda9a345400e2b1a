package steering

import (
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

func limitSignal(perSecond float64) backpressure.Signal {
	return backpressure.Signal{Limit: backpressure.Limit{Set: true, PerSecond: perSecond}}
}

// Guards against shares of a limit that add up to more than it, or leave a part to nobody.
func TestBackpressureSharesAddUpToTheLimit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, proxies := range []int{1, 2, 9, 77, 300} {
		fleet, _ := newFleet(now, time.Time{}, proxies, []string{"north-a", "south-a", "south-a", "north-b"})
		for _, window := range []int{1, 2, 3, 26, 400, 4001} {
			sum := 0
			for _, k := range fleet {
				sum += k.backpressureShare(now, k.servers["cold"], window)
			}
			if sum != window {
				t.Errorf("%d proxies may send %d in a window, want %d", proxies, sum, window)
			}
		}
	}
}

// Guards against a proxy that has just started, knows no other and takes a limit for its own.
func TestStartingProxyHasNoBackpressureShare(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fleet, _ := newFleet(now, now, 1, []string{"north-a"})
	if got := fleet[0].backpressureShare(now.Add(time.Second), fleet[0].servers["cold"], 26); got != 0 {
		t.Errorf("got a part of %d a second after the start, want none", got)
	}
	if got := fleet[0].backpressureShare(now.Add(3*time.Second), fleet[0].servers["cold"], 26); got != 26 {
		t.Errorf("got a part of %d 3 s after the start, want 26", got)
	}
}

// Guards against a server that registers anew after the store was away and gets more than
// its limit, as what it asked was forgotten with its entry.
func TestBackpressureLimitSurvivesReregistration(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := quarantineKernel(now, true)
	for _, id := range []string{"s2", "s3", "s4", "s5", "s6"} {
		k.RemoveServer(now, id)
	}
	f, _ := beginPoison(k, now)
	k.EndAttempt(now, f, Attempt{Result: ResultAnswered, Signal: limitSignal(0.5)})
	k.RemoveServer(now, "s1")
	k.RegisterServer(now, routing.Server{ID: "s1", Service: "service", Domain: "north-a", Slots: 4, Started: now})
	sent := 0
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		f, d := beginPoison(k, now)
		if d.Server != nil {
			sent++
			k.EndAttempt(now, f, Attempt{Result: ResultAnswered, Signal: limitSignal(0.5)})
		} else if d.Reason != ReasonBackpressure || !d.NotRun || d.RetryAfter <= 0 {
			t.Fatalf("got %+v, want it refused since the server has asked for less", d)
		}
	}
	if sent != 2 {
		t.Errorf("%d requests were sent within a second, want the 2 of a window", sent)
	}
	now = now.Add(time.Second)
	k.RegisterServer(now, routing.Server{ID: "s1", Service: "service", Domain: "north-a", Slots: 4, Started: now})
	if _, d := beginPoison(k, now); d.Server == nil {
		t.Errorf("got %+v, want a server that has started again to ask nothing", d)
	}
}

// Guards against a request that is sent to a server which has asked for a pause, or begun to
// leave, while a connection was opened for it.
func TestRequestIsNotSentOnceTheServerPausesOrDrains(t *testing.T) {
	for name, signal := range map[string]backpressure.Signal{"pause": {Pause: 2 * time.Second}, "leaves": {Draining: true}} {
		now := time.Unix(1_000_000, 0)
		k := quarantineKernel(now, false)
		first, d := beginPoison(k, now)
		second, again := beginPoison(k, now)
		if d.Server == nil || again.Server == nil || d.Server.ID != again.Server.ID || !k.ServerStillAccepts(now, second) {
			t.Fatalf("%s: got %+v and %+v, want both requests at one server", name, d, again)
		}
		k.EndAttempt(now.Add(50*time.Millisecond), first, Attempt{Result: ResultRefused, Signal: signal})
		if k.ServerStillAccepts(now.Add(60*time.Millisecond), second) {
			t.Errorf("%s: the second request may still go there", name)
		}
		if d = k.EndAttempt(now.Add(60*time.Millisecond), second, Attempt{Result: ResultNotSent}); d.Server == nil || d.Server.ID == again.Server.ID {
			t.Errorf("%s: got %+v, want the request, which was not sent, at another server", name, d)
		}
	}
}

// Guards against callers that wait at a service all of whose servers pause, and against a
// time to come back at which they still do.
func TestRetryAfterCoversThePause(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := quarantineKernel(now, true)
	for range 6 {
		f, d := beginPoison(k, now)
		for d.Server != nil {
			d = k.EndAttempt(now, f, Attempt{Result: ResultRefused, Signal: backpressure.Signal{Pause: 3 * time.Second}})
		}
	}
	_, d := beginPoison(k, now.Add(time.Second))
	if d.Reason != ReasonBackpressure || !d.NotRun || d.RetryAfter < 2*time.Second || d.RetryAfter > 4*time.Second {
		t.Errorf("got %+v, want it refused at once, to come back when the pause has ended, 2 s later", d)
	}
	if _, d = beginPoison(k, now.Add(3*time.Second)); d.Server == nil {
		t.Errorf("got %+v, want a server after the pause", d)
	}
}
