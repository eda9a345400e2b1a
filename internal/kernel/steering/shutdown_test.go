package steering

import (
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/shutdown"
)

// shutdownTimeout is longer than the second half of shutdownGrace.
const (
	shutdownGrace   = 6 * time.Second
	shutdownTimeout = 4 * time.Second
)

// newStoppingKernel returns a kernel that began its shutdown at the given time, with one route and one server.
func newStoppingKernel(begun time.Time) *Kernel {
	k := New(Config{Name: "p", Domain: "a", Region: "r", RegionOf: map[string]string{"a": "r"}, Bounds: Bounds{Retry: ampleRetries}})
	k.SetTable(routing.NewTable(1, []*routing.Route{{
		Name: "bids", Host: "h", Prefix: "/", Attempts: 2, Timeout: shutdownTimeout, Target: time.Second,
		Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
	}}, nil, routing.Limits{}))
	k.RegisterServer(begun, routing.Server{ID: "s", Service: "service", Domain: "a", Slots: 4})
	k.BeginShutdown(shutdown.Plan{BegunAt: begun, Grace: shutdownGrace})
	return k
}

// Guards against a shutdown that interrupts a request which a caller sent when it could have used another proxy.
func TestShutdownRejectsWhatItMayInterrupt(t *testing.T) {
	begun := time.Now()
	k := newStoppingKernel(begun)
	if _, d := k.BeginRequest(begun, Request{Host: "h", Path: "/"}); d.Server == nil {
		t.Errorf("at the start of the shutdown got %+v, want the request at a server", d)
	}
	now := begun.Add(shutdownGrace / 2)
	_, d := k.BeginRequest(now, Request{Host: "h", Path: "/"})
	if d.Server != nil || !d.NotRun || d.Reason != ReasonShutdown || d.RetryAfter != minRetryAfter {
		t.Errorf("in the second half got %+v, want it rejected as not run because of the shutdown", d)
	}
	if _, d = k.BeginRequest(now, Request{Host: "h", Path: "/", Deadline: now.Add(time.Second)}); d.Server == nil {
		t.Errorf("a request whose caller waits for a second got %+v, want it at a server", d)
	}
}

// Guards against a server that is held responsible for requests that the shutdown of the proxy interrupts.
func TestInterruptedRequestSaysNothingAboutServer(t *testing.T) {
	begun := time.Now()
	k := newStoppingKernel(begun)
	req, _ := k.BeginRequest(begun.Add(2*time.Second), Request{Host: "h", Path: "/"})
	d := k.EndAttempt(begun.Add(shutdownGrace-time.Millisecond*500), req, Attempt{Result: ResultTimeout})
	if d.Reason != ReasonShutdown || d.NotRun {
		t.Errorf("got %+v, want a request that may have run, ended by the shutdown", d)
	}
	if s := k.servers["s"]; !s.silentAt.IsZero() || s.failureShare > 0 {
		t.Errorf("the server counts as silent since %s, failure share %g, want neither", s.silentAt, s.failureShare)
	}
}

// Guards against an interrupted request that waited for a slot and is reported as one that may have run.
func TestInterruptedRequestWithoutSlotIsNotRun(t *testing.T) {
	begun := time.Now()
	k := newStoppingKernel(begun)
	req, _ := k.BeginRequest(begun.Add(2*time.Second), Request{Host: "h", Path: "/"})
	d := k.EndAttempt(begun.Add(shutdownGrace-500*time.Millisecond), req, Attempt{Result: ResultCallerGone, Unsent: true})
	if d.Reason != ReasonShutdown || !d.NotRun {
		t.Errorf("got %+v, want a request that has not run, ended by the shutdown", d)
	}
}
