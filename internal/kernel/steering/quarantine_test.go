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

// quarantineKernel knows six servers, one route with three attempts, and nothing else.
func quarantineKernel(now time.Time, idempotent bool) *Kernel {
	k := New(Config{
		Name: "proxy-0", Domain: "north-a", Region: "north", RegionOf: regionOf,
		Bounds: Bounds{Retry: RetryBudget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}, ColdFactor: 1.5, ColdSlack: 5},
	})
	route := &routing.Route{
		Name: "route", Host: "host", Prefix: "/a/", Idempotent: idempotent, Sticky: true, Attempts: 3, Timeout: 2 * time.Second,
		Target: 500 * time.Millisecond, Parts: []routing.Part{{Service: "service", Weight: 1}},
	}
	k.SetTable(routing.NewTable(1, []*routing.Route{route}, nil, routing.Limits{}))
	for _, id := range []string{"s1", "s2", "s3", "s4", "s5", "s6"} {
		k.RegisterServer(now, routing.Server{ID: id, Service: "service", Domain: "north-a", Slots: 4, Started: now})
	}
	return k
}

func beginPoison(k *Kernel, now time.Time) (*ActiveRequest, Decision) {
	return k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/deadly", Object: "o", Work: poisonFingerprint, Deadline: now.Add(4 * time.Second)})
}

// crashServer sends the work once and has the server end under it.
func crashServer(t *testing.T, k *Kernel, now time.Time) Decision {
	t.Helper()
	f, d := beginPoison(k, now)
	if d.Server == nil {
		t.Fatalf("not sent: %+v", d)
	}
	id := d.Server.ID
	d = k.EndAttempt(now, f, Attempt{Result: ResultConnectionLost})
	k.RecordConnectionRefused(now, id)
	k.RemoveServer(now, id)
	return d
}

// A request breaks at one server and again at the next. Whether they have ended is not
// known yet; a third attempt, which the route allows, might cost one server more.
func TestRequestThatLostTwoConnectionsIsNotRetried(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := quarantineKernel(now, true)
	f, _ := beginPoison(k, now)
	d := k.EndAttempt(now, f, Attempt{Result: ResultConnectionLost})
	if d.Server == nil {
		t.Fatalf("after one break: %+v, want it sent again", d)
	}
	if d = k.EndAttempt(now, f, Attempt{Result: ResultConnectionLost}); d.Server != nil || d.NotRun {
		t.Errorf("after two breaks: %+v, want it ended as one that may have run", d)
	}
}

// Work that may end servers comes at twice the pace at which servers are found to have
// ended. It runs once at a time; the other callers hear at once that it has not run.
func TestSuspectedFingerprintRunsOneRequestAtATime(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := quarantineKernel(now, false)
	crashServer(t, k, now)
	crashServer(t, k, now)
	f, d := beginPoison(k, now)
	if d.Server == nil {
		t.Fatalf("third run: %+v, want it sent", d)
	}
	if _, d := beginPoison(k, now); d.Server != nil || !d.NotRun || d.Reason != ReasonMayCrashServers || d.RetryAfter <= 0 || d.RetryAfter > maxRetryAfter {
		t.Errorf("beside it: %+v, want it refused for a moment", d)
	}
	if d := k.EndAttempt(now, f, Attempt{Result: ResultAnswered}); !d.ReturnResponse {
		t.Errorf("answered: %+v, want the answer passed on", d)
	}
	if _, d := beginPoison(k, now); d.Server == nil {
		t.Errorf("after a good run: %+v, want it sent", d)
	}
}

// Work that has ended three servers is refused with the truth: it has not run, and may
// come again when it is tried, first after two seconds, since it may be sound; after a trial that ended
// a server, in minutes. A request that broke before it was condemned may have run.
func TestQuarantinedFingerprintIsRefusedAsNotRun(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := quarantineKernel(now, true)
	k.SetTable(routing.NewTable(2, []*routing.Route{{
		Name: "route", Host: "host", Prefix: "/a/", Attempts: 1, Timeout: 2 * time.Second, Target: time.Second, Parts: []routing.Part{{Service: "service", Weight: 1}},
	}}, nil, routing.Limits{}))
	for range quarantine.DefaultThreshold {
		if d := crashServer(t, k, now); d.NotRun {
			t.Errorf("a request whose server ended: %+v, want no word that it has not run", d)
		}
	}
	_, d := beginPoison(k, now)
	if !d.NotRun || d.Reason != ReasonCrashesServers || d.RetryAfter != 2*time.Second {
		t.Errorf("condemned: %+v, want it refused for 2s", d)
	}
	now = now.Add(5 * time.Second)
	crashServer(t, k, now)
	_, d = beginPoison(k, now)
	if !d.NotRun || d.Reason != ReasonCrashesServers || d.RetryAfter != quarantine.MaxRetryAfter {
		t.Errorf("condemned after a trial: %+v, want it refused for %s", d, quarantine.MaxRetryAfter)
	}
	other := Request{ID: "r2", Host: "host", Path: "/a/sound", Object: "o", Work: quarantine.NewFingerprint("GET", "host", "/a/sound", "", nil), Deadline: now.Add(time.Second)}
	if _, d := k.BeginRequest(now, other); d.Server == nil {
		t.Errorf("other work for the same object: %+v, want it sent", d)
	}
}

// Servers leave as planned and cut what takes too long; connections are reset and answers
// break off while the servers go on. Neither counts against the requests.
func TestLostConnectionsWithoutCrashDoNotQuarantine(t *testing.T) {
	for name, between := range map[string]func(k *Kernel, now time.Time, id string){
		"planned stop": func(k *Kernel, now time.Time, id string) {
			k.RegisterServer(now, routing.Server{ID: id, Service: "service", Domain: "north-a", Slots: 4, Draining: true, Started: time.Unix(1_000_000, 0)})
		},
		"reset connection": func(*Kernel, time.Time, string) {},
	} {
		now := time.Unix(1_000_000, 0)
		k := quarantineKernel(now, false)
		for range quarantine.DefaultThreshold + 1 {
			f, d := beginPoison(k, now)
			if d.Server == nil {
				t.Fatalf("%s: refused: %+v", name, d)
			}
			id := d.Server.ID
			between(k, now, id)
			k.EndAttempt(now, f, Attempt{Result: ResultConnectionLost})
			now = now.Add(time.Second)
			if name == "planned stop" {
				k.RemoveServer(now, id)
			}
		}
		if _, d := beginPoison(k, now); d.Reason == ReasonCrashesServers {
			t.Errorf("%s: got the work condemned", name)
		}
	}
}

// A server ends under a request and is back under its id before anybody dials it. Only
// its registration tells that it has started anew.
func TestRestartUnderTheSameIDCountsAsCrash(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := quarantineKernel(now, false)
	for range quarantine.DefaultThreshold {
		f, d := beginPoison(k, now)
		if d.Server == nil {
			t.Fatalf("refused too soon: %+v", d)
		}
		again := d.Server.Server
		k.EndAttempt(now, f, Attempt{Result: ResultConnectionLost})
		now = now.Add(time.Second)
		again.Started = now
		k.RegisterServer(now, again)
	}
	if _, d := beginPoison(k, now); d.Reason != ReasonCrashesServers {
		t.Errorf("after three starts anew: %+v, want the work condemned", d)
	}
}

// Between two ends a server that fails by chance, or does not like the caller, answers
// the work with a failure of its own. It has not come to what ends servers, and the ends
// before must go on counting.
func TestFailedRequestsDoNotCountAsSuccess(t *testing.T) {
	for name, answer := range map[string]Attempt{
		"failed":   {Result: ResultServerError, Rejected: true},
		"rejected": {Result: ResultAnswered, Rejected: true},
		"refused":  {Result: ResultRefused},
	} {
		now := time.Unix(1_000_000, 0)
		k := quarantineKernel(now, false)
		for range quarantine.DefaultThreshold {
			f, d := beginPoison(k, now)
			if d.Server == nil {
				t.Fatalf("%s: refused too soon: %+v", name, d)
			}
			for d.Server != nil {
				d = k.EndAttempt(now, f, answer)
			}
			now = now.Add(100 * time.Millisecond)
			crashServer(t, k, now)
		}
		if _, d := beginPoison(k, now); d.Reason != ReasonCrashesServers {
			t.Errorf("%s: %+v, want the work condemned", name, d)
		}
	}
}
