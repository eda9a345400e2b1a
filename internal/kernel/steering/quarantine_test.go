package steering

import (
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

var (
	poisonFingerprint = quarantine.NewFingerprint("GET", "host", "/a/deadly", "", nil)
)

// quarantineKernel returns a kernel with six servers and one route with three attempts.
func quarantineKernel(now time.Time, idempotent bool) *Kernel {
	k := New(Config{
		Name: "proxy-0", Domain: "north-a", Region: "north", RegionOf: regionOf,
		Bounds: Bounds{Retry: ampleRetries, ColdFactor: 1.5, ColdSlack: 5},
	})
	route := &routing.Route{
		Name: "route", Host: "host", Prefix: "/a/", Idempotent: idempotent, Sticky: true, Attempts: 3, Timeout: 2 * time.Second,
		Target: 500 * time.Millisecond, Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
	}
	k.SetTable(routing.NewTable(1, []*routing.Route{route}, nil, routing.Limits{}))
	for _, id := range []string{"s1", "s2", "s3", "s4", "s5", "s6"} {
		k.RegisterServer(now, routing.Server{ID: id, Service: "service", Domain: "north-a", Slots: 4, Started: now})
	}
	return k
}

func beginPoisonRequest(k *Kernel, now time.Time) (*ActiveRequest, Decision) {
	return k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/deadly", Object: "o", Work: poisonFingerprint, Deadline: now.Add(4 * time.Second)})
}

// crashServer sends the poison request once and has it crash its server.
func crashServer(t *testing.T, k *Kernel, now time.Time) Decision {
	t.Helper()
	req, d := beginPoisonRequest(k, now)
	if d.Server == nil {
		t.Fatalf("not sent: %+v", d)
	}
	id := d.Server.ID
	d = k.EndAttempt(now, req, Attempt{Result: ResultConnectionLost})
	k.RecordConnectionRefused(now, id)
	k.RemoveServer(now, id)
	return d
}

// A request loses its connection at one server and again at the next. Whether the servers have
// crashed is not known yet. A third attempt, which the route allows, might crash another one.
func TestRequestThatLostTwoConnectionsIsNotRetried(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := quarantineKernel(now, true)
	req, _ := beginPoisonRequest(k, now)
	d := k.EndAttempt(now, req, Attempt{Result: ResultConnectionLost})
	if d.Server == nil {
		t.Fatalf("after one lost connection: %+v, want it retried", d)
	}
	if d = k.EndAttempt(now, req, Attempt{Result: ResultConnectionLost}); d.Server != nil || d.NotRun {
		t.Errorf("after two lost connections: %+v, want it ended as one that may have run", d)
	}
}

// Requests that may crash servers arrive at twice the rate at which crashes are detected. Only one
// of them runs at a time, and the others are rejected at once as not run.
func TestSuspectedFingerprintRunsOneRequestAtATime(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := quarantineKernel(now, false)
	crashServer(t, k, now)
	crashServer(t, k, now)
	req, d := beginPoisonRequest(k, now)
	if d.Server == nil {
		t.Fatalf("third run: %+v, want it sent", d)
	}
	if _, d := beginPoisonRequest(k, now); d.Server != nil || !d.NotRun || d.Reason != ReasonMayCrashServers || d.RetryAfter <= 0 || d.RetryAfter > maxRetryAfter {
		t.Errorf("second request in flight: %+v, want it rejected with a retry delay", d)
	}
	if d := k.EndAttempt(now, req, Attempt{Result: ResultResponded}); !d.ReturnResponse {
		t.Errorf("after a response: %+v, want the response returned", d)
	}
	if _, d := beginPoisonRequest(k, now); d.Server == nil {
		t.Errorf("after a successful run: %+v, want it sent", d)
	}
}

// A fingerprint that has crashed three servers is rejected as not run, with a retry delay up to its
// next trial: 2 s at first, because it may be harmless, and minutes after a trial that crashed a
// server. A request that lost its connection before the quarantine may have run.
func TestQuarantinedFingerprintIsRejectedAsNotRun(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := quarantineKernel(now, true)
	k.SetTable(routing.NewTable(2, []*routing.Route{{
		Name: "route", Host: "host", Prefix: "/a/", Attempts: 1, Timeout: 2 * time.Second, Target: time.Second, Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
	}}, nil, routing.Limits{}))
	for range quarantine.DefaultThreshold {
		if d := crashServer(t, k, now); d.NotRun {
			t.Errorf("a request whose server crashed: %+v, want it not reported as not run", d)
		}
	}
	_, d := beginPoisonRequest(k, now)
	if !d.NotRun || d.Reason != ReasonCrashesServers || d.RetryAfter != 2*time.Second {
		t.Errorf("quarantined: %+v, want it rejected for 2s", d)
	}
	now = now.Add(5 * time.Second)
	crashServer(t, k, now)
	_, d = beginPoisonRequest(k, now)
	if !d.NotRun || d.Reason != ReasonCrashesServers || d.RetryAfter != quarantine.MaxRetryAfter {
		t.Errorf("quarantined after a trial: %+v, want it rejected for %s", d, quarantine.MaxRetryAfter)
	}
	other := Request{ID: "r2", Host: "host", Path: "/a/harmless", Object: "o", Work: quarantine.NewFingerprint("GET", "host", "/a/harmless", "", nil), Deadline: now.Add(time.Second)}
	if _, d := k.BeginRequest(now, other); d.Server == nil {
		t.Errorf("another fingerprint for the same object: %+v, want it sent", d)
	}
}

// Draining servers close the connections of requests that take too long. Connections are also
// reset, and responses are cut off, while the servers keep running. Neither is evidence against the
// requests.
func TestLostConnectionsWithoutCrashDoNotQuarantine(t *testing.T) {
	for name, event := range map[string]func(k *Kernel, now time.Time, id string){
		"graceful shutdown": func(k *Kernel, now time.Time, id string) {
			k.RegisterServer(now, routing.Server{ID: id, Service: "service", Domain: "north-a", Slots: 4, Draining: true, Started: time.Unix(1_000_000, 0)})
		},
		"reset connection": func(*Kernel, time.Time, string) {},
	} {
		now := time.Unix(1_000_000, 0)
		k := quarantineKernel(now, false)
		for range quarantine.DefaultThreshold + 1 {
			req, d := beginPoisonRequest(k, now)
			if d.Server == nil {
				t.Fatalf("%s: rejected: %+v", name, d)
			}
			id := d.Server.ID
			event(k, now, id)
			k.EndAttempt(now, req, Attempt{Result: ResultConnectionLost})
			now = now.Add(time.Second)
			if name == "graceful shutdown" {
				k.RemoveServer(now, id)
			}
		}
		if _, d := beginPoisonRequest(k, now); d.Reason == ReasonCrashesServers {
			t.Errorf("%s: the fingerprint is quarantined", name)
		}
	}
}

// A server crashes under a request and is back under its ID before anyone connects to it. Only its
// registration shows that it has restarted.
func TestRestartUnderTheSameIDCountsAsCrash(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := quarantineKernel(now, false)
	for range quarantine.DefaultThreshold {
		req, d := beginPoisonRequest(k, now)
		if d.Server == nil {
			t.Fatalf("rejected too soon: %+v", d)
		}
		restarted := d.Server.Server
		k.EndAttempt(now, req, Attempt{Result: ResultConnectionLost})
		now = now.Add(time.Second)
		restarted.Started = now
		k.RegisterServer(now, restarted)
	}
	if _, d := beginPoisonRequest(k, now); d.Reason != ReasonCrashesServers {
		t.Errorf("after three restarts: %+v, want the fingerprint quarantined", d)
	}
}

// Between two crashes, a server fails the request for another reason, reports an error in it or
// rejects it without running it. It has not reached the part that crashes servers, so the earlier
// crashes must still count.
func TestFailedRequestsDoNotCountAsSuccess(t *testing.T) {
	for name, attempt := range map[string]Attempt{
		"failed":   {Result: ResultServerError, Rejected: true},
		"rejected": {Result: ResultResponded, Rejected: true},
		"refused":  {Result: ResultRejected},
	} {
		now := time.Unix(1_000_000, 0)
		k := quarantineKernel(now, false)
		for range quarantine.DefaultThreshold {
			req, d := beginPoisonRequest(k, now)
			if d.Server == nil {
				t.Fatalf("%s: rejected too soon: %+v", name, d)
			}
			for d.Server != nil {
				d = k.EndAttempt(now, req, attempt)
			}
			now = now.Add(100 * time.Millisecond)
			crashServer(t, k, now)
		}
		if _, d := beginPoisonRequest(k, now); d.Reason != ReasonCrashesServers {
			t.Errorf("%s: %+v, want the fingerprint quarantined", name, d)
		}
	}
}
