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

// Guards against shares of a server's limit that add up to more or less than the limit.
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

// Guards against a proxy that has just started, knows no others yet and uses a server's whole
// limit.
func TestStartingProxyHasNoBackpressureShare(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fleet, _ := newFleet(now, now, 1, []string{"north-a"})
	if got := fleet[0].backpressureShare(now.Add(time.Second), fleet[0].servers["cold"], 26); got != 0 {
		t.Errorf("got a share of %d 1 s after the start, want none", got)
	}
	if got := fleet[0].backpressureShare(now.Add(3*time.Second), fleet[0].servers["cold"], 26); got != 26 {
		t.Errorf("got a share of %d 3 s after the start, want 26", got)
	}
}

// The store refuses a proxy from its start on, and the others divide a server's limit without it.
// Guards against shares that add up to more than the limit.
func TestUnregisteredProxyHasNoBackpressureShare(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const window = 26
	fleet, proxies := newFleet(now, now, 3, []string{"north-a", "north-b", "south-a"})
	unregistered := fleet[0]
	unregistered.ConfirmListing(now, now, false)
	for _, k := range fleet[1:] {
		k.limitSharers = nil
		k.SetProxies(now, proxies[1:])
		k.RecordRegistration(now)
	}
	sum := func(at time.Time) (n int) {
		for _, k := range fleet {
			n += k.backpressureShare(at, k.servers["cold"], window)
		}
		return n
	}
	if got := sum(now.Add(10 * time.Second)); got != window {
		t.Errorf("the shares add up to %d without the unregistered proxy, want %d", got, window)
	}
	registeredAt := now.Add(10 * time.Second)
	unregistered.RecordRegistration(registeredAt)
	if got := sum(registeredAt.Add(time.Second)); got != window {
		t.Errorf("the shares add up to %d one second after it was registered, want %d", got, window)
	}
	for _, k := range fleet[1:] {
		k.SetProxies(registeredAt, proxies)
	}
	if got := sum(registeredAt.Add(startupGrace)); got != window {
		t.Errorf("the shares add up to %d once all know it, want %d", got, window)
	}
}

// Guards against a server that registers again after a store outage and gets more requests than its
// announced limit, because the limit was dropped with its entry.
func TestBackpressureLimitSurvivesReregistration(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := quarantineKernel(now, true)
	for _, id := range []string{"s2", "s3", "s4", "s5", "s6"} {
		k.RemoveServer(now, id)
	}
	req, _ := beginPoisonRequest(k, now)
	k.EndAttempt(now, req, Attempt{Result: ResultResponded, Signal: limitSignal(0.5)})
	k.RemoveServer(now, "s1")
	k.RegisterServer(now, routing.Server{ID: "s1", Service: "service", Domain: "north-a", Slots: 4, Started: now})
	sent := 0
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		req, d := beginPoisonRequest(k, now)
		if d.Server != nil {
			sent++
			k.EndAttempt(now, req, Attempt{Result: ResultResponded, Signal: limitSignal(0.5)})
		} else if d.Reason != ReasonBackpressure || !d.NotRun || d.RetryAfter <= 0 {
			t.Fatalf("got %+v, want it rejected because of the limit of the server", d)
		}
	}
	if sent != 2 {
		t.Errorf("%d requests were sent within a second, want the 2 of one window", sent)
	}
	now = now.Add(time.Second)
	k.RegisterServer(now, routing.Server{ID: "s1", Service: "service", Domain: "north-a", Slots: 4, Started: now})
	if _, d := beginPoisonRequest(k, now); d.Server == nil {
		t.Errorf("got %+v, want a server: a restarted one has no limit", d)
	}
}

// Guards against sending a request to a server that has paused or started to drain while the
// connection for the request was being opened.
func TestRequestIsNotSentOnceTheServerPausesOrDrains(t *testing.T) {
	for name, signal := range map[string]backpressure.Signal{"pauses": {Pause: 2 * time.Second}, "drains": {Draining: true}} {
		now := time.Unix(1_000_000, 0)
		k := quarantineKernel(now, false)
		firstReq, d := beginPoisonRequest(k, now)
		secondReq, d2 := beginPoisonRequest(k, now)
		if d.Server == nil || d2.Server == nil || d.Server.ID != d2.Server.ID || !k.ServerStillAccepts(now, secondReq, false) {
			t.Fatalf("%s: got %+v and %+v, want the same server for both requests", name, d, d2)
		}
		k.EndAttempt(now.Add(50*time.Millisecond), firstReq, Attempt{Result: ResultRejected, Signal: signal})
		if k.ServerStillAccepts(now.Add(60*time.Millisecond), secondReq, false) {
			t.Errorf("%s: the second request may still be sent to the server", name)
		}
		if d = k.EndAttempt(now.Add(60*time.Millisecond), secondReq, Attempt{Result: ResultNotSent}); d.Server == nil || d.Server.ID == d2.Server.ID {
			t.Errorf("%s: got %+v, want another server for the unsent request", name, d)
		}
	}
}

// Guards against sending a request to a server that has left, restarted or been evacuated while the
// connection for the request was being opened.
func TestRequestIsNotSentOnceTheServerHasLeft(t *testing.T) {
	for name, leave := range map[string]func(*Kernel, time.Time, routing.Server){
		"drains":                  func(k *Kernel, now time.Time, s routing.Server) { s.Draining = true; k.RegisterServer(now, s) },
		"is removed":              func(k *Kernel, now time.Time, s routing.Server) { k.RemoveServer(now, s.ID) },
		"has an unreadable entry": func(k *Kernel, _ time.Time, s routing.Server) { k.MarkServerUnreadable(s.ID) },
		"restarts":                func(k *Kernel, now time.Time, s routing.Server) { s.Started = now; k.RegisterServer(now, s) },
		"is evacuated":            func(k *Kernel, now time.Time, s routing.Server) { k.SetDomainEvacuated(now, s.Domain, true) },
	} {
		now := time.Unix(1_000_000, 0)
		k := quarantineKernel(now, false)
		req, d := beginPoisonRequest(k, now)
		if d.Server == nil || !k.ServerStillAccepts(now, req, false) {
			t.Fatalf("%s: got %+v, want a server", name, d)
		}
		leave(k, now.Add(50*time.Millisecond), d.Server.Server)
		if k.ServerStillAccepts(now.Add(60*time.Millisecond), req, false) {
			t.Errorf("%s: the request may still be sent to the server", name)
		}
	}
}

// Guards against callers that wait for a service whose servers are all paused, and against a retry
// delay that ends before the pause.
func TestRetryAfterCoversThePause(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := quarantineKernel(now, true)
	for range 6 {
		req, d := beginPoisonRequest(k, now)
		for d.Server != nil {
			d = k.EndAttempt(now, req, Attempt{Result: ResultRejected, Signal: backpressure.Signal{Pause: 3 * time.Second}})
		}
	}
	_, d := beginPoisonRequest(k, now.Add(time.Second))
	if d.Reason != ReasonBackpressure || !d.NotRun || d.RetryAfter < 2*time.Second || d.RetryAfter > 4*time.Second {
		t.Errorf("got %+v, want it rejected at once with a retry delay of 2 to 4 s, beyond the end of the pause", d)
	}
	if _, d = beginPoisonRequest(k, now.Add(3*time.Second)); d.Server == nil {
		t.Errorf("got %+v, want a server after the pause", d)
	}
}
