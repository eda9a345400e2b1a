package core

import (
	"net/netip"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
)

// Guards against the outcome "not run" of a request of which an earlier attempt may have run.
func TestLaterRejectionDoesNotProveNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		results []backend.Result
		want    caller.Outcome
	}{
		"rejected after an interruption":    {[]backend.Result{backend.Interrupted, backend.Rejected, backend.Rejected}, caller.OutcomeUnknown},
		"unreachable after an interruption": {[]backend.Result{backend.Interrupted, backend.Unreachable, backend.Unreachable}, caller.OutcomeUnknown},
		"interrupted between rejections":    {[]backend.Result{backend.Rejected, backend.Interrupted, backend.Rejected}, caller.OutcomeUnknown},
		"rejected only":                     {[]backend.Result{backend.Rejected, backend.Rejected, backend.Unreachable}, caller.OutcomeNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			k, now := readyKernel(t)
			k.bundle.Retry.MaxAttempts = len(c.results)
			read := func(now time.Time) Decision {
				return k.BeginRequest(now, Request{Service: "notice-board", Method: "GET", Path: "/", Client: netip.MustParseAddr("10.10.1.1"), Deadline: now.Add(time.Second)})
			}
			for range 1000 {
				// Fills the retry budget.
				k.EndAttempt(now, AttemptEnd{Attempt: read(now).Attempt, Result: backend.Completed})
			}
			d := read(now)
			for i, result := range c.results {
				if d.Step != StepDispatch {
					t.Fatalf("attempt %d: got step %d (%s), want a dispatch", i+1, d.Step, d.Result.Reason)
				}
				d = k.EndAttempt(now, AttemptEnd{Attempt: d.Attempt, Result: result})
			}
			if d.Step != StepFinish || d.Result.Outcome != c.want {
				t.Errorf("got step %d with outcome %s, want the end with %s", d.Step, d.Result.Outcome, c.want)
			}
		})
	}
}
