package core

import (
	"net/netip"
	"testing"
	"time"
)

// TestStoppingProxyKeepsItsQuota: a proxy is told to stop and happens to hold no
// request when news of the quota slots comes. Callers with cached answers still
// come for seconds; they must be served and not refused for want of quota.
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
