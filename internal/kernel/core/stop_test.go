package core

import (
	"net/netip"
	"testing"
	"time"
)

// TestStoppingProxyKeepsItsQuota guards against a stopping proxy that releases its quota when an
// assignment arrives while it has no request in flight. Callers with cached lookup responses keep
// coming for some seconds and must be served, not rejected for lack of quota.
func TestStoppingProxyKeepsItsQuota(t *testing.T) {
	k, now := readyKernel(t)
	k.BeginStop(now)
	next := *k.assignment
	next.Version++
	k.ApplyAssignment(now, &next)
	now = now.Add(TickInterval)
	k.Tick(now)
	if k.MayStopServing(now) {
		t.Fatalf("got the end of serving after %s, want it later", TickInterval)
	}
	d := k.BeginRequest(now, Request{
		Service: "notice-board", Method: "GET", Path: "/", Client: netip.MustParseAddr("10.10.1.1"),
		Deadline: now.Add(time.Second),
	})
	if got, want := d.Step, StepDispatch; got != want {
		t.Errorf("got step %d (%s), want a dispatch", got, d.Result.Reason)
	}
}
