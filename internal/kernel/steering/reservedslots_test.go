package steering

import (
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// yieldKernel returns a kernel that has seen urgent requests, and servers with the given slots.
func yieldKernel(now time.Time, slots int, servers ...string) *Kernel {
	k := shedKernel(now)
	k.RemoveServer(now, "s")
	for _, id := range servers {
		k.RegisterServer(now, routing.Server{ID: id, Service: "service", Domain: "north-a", Slots: slots})
	}
	for range 20 {
		for _, path := range []string{"/urgent/x", "/plain/x"} {
			req, d := k.BeginRequest(now, Request{Host: "host", Path: path})
			if d.SlotRequest != nil {
				d = k.HandleSlotReply(now, req, k.HandleSlotRequest(now, *d.SlotRequest), true)
			}
			end := k.EndAttempt(now.Add(100*time.Millisecond), req, Attempt{Result: ResultResponded})
			if end.SlotRelease != nil {
				k.HandleSlotRelease(now, *end.SlotRelease)
			}
		}
	}
	return k
}

// Less urgent requests of several proxies fill all slots of a server that each proxy sees only now
// and then. Guards against urgent requests that wait behind them in the server's queue.
func TestLessUrgentRequestsLeaveASlotForUrgentOnes(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const slots = 8
	k := yieldKernel(now, slots, "s")
	var granted []SlotReply
	for i := range slots {
		req, d := k.BeginRequest(now, Request{Host: "host", Path: "/plain/x"})
		if d.SlotRequest == nil {
			t.Fatalf("request %d is sent without a slot", i)
		}
		reply := k.HandleSlotRequest(now, *d.SlotRequest)
		if reply.Verdict == admission.Granted {
			granted = append(granted, reply)
			k.HandleSlotReply(now, req, reply, true)
		}
	}
	if got, want := len(granted), slots-admission.ReservedSlots(slots); got != want || got == slots {
		t.Errorf("%d of %d less urgent requests get a slot, want %d", got, slots, want)
	}
	if _, d := k.BeginRequest(now, Request{Host: "host", Path: "/urgent/x"}); d.Server == nil || d.SlotRequest != nil {
		t.Errorf("got %+v for an urgent request, want it sent without a slot request", d)
	}
	first := granted[0]
	replies := k.HandleSlotRelease(now, SlotRelease{Server: "s", From: first.From, ID: first.ID})
	if len(replies) != 1 || replies[0].Verdict != admission.Granted {
		t.Errorf("got %+v after a slot was released, want one grant", replies)
	}
}

// The proxy that grants the slots of a server is gone. Guards against less urgent requests that wait
// for it.
func TestLessUrgentRequestIsSentWithoutSlotOwner(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := yieldKernel(now, 8, "s")
	req, d := k.BeginRequest(now, Request{Host: "host", Path: "/plain/x"})
	if d.SlotRequest == nil {
		t.Fatal("no slot is requested")
	}
	if d = k.HandleSlotReply(now, req, SlotReply{}, false); d.Server == nil || d.Server.ID != "s" {
		t.Errorf("got %+v without a reply of the owner, want the request sent", d)
	}
	if _, d := k.BeginRequest(now, Request{Host: "host", Path: "/plain/x"}); d.Server == nil || d.SlotRequest != nil {
		t.Errorf("got %+v for the next request, want it sent without a slot request", d)
	}
}

// No slot of the home is free. The request runs at another server while the region has room; then
// its caller is told to return while it can still get a response in time.
func TestLessUrgentRequestWithoutSlotRunsElsewhereOrReturns(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := yieldKernel(now, 8, "s", "other")
	denied := SlotReply{Grant: admission.Grant{Verdict: admission.Denied}}
	req, d := k.BeginRequest(now, Request{Host: "host", Path: "/plain/x", Object: "1"})
	home := d.Server.ID
	if d = k.HandleSlotReply(now, req, denied, true); d.Server == nil || d.Server.ID == home {
		t.Errorf("got %+v with idle servers, want the request at another server than %s", d, home)
	}
	svc := k.service("service")
	for range 20 {
		k.recordQueue(now, req, k.servers["other"], 8, 0)
	}
	req, d = k.BeginRequest(now, Request{Host: "host", Path: "/plain/x", Object: "1"})
	if d.SlotRequest == nil {
		t.Fatalf("got %+v, want a slot request; utilization %.2f", d, svc.capacity.Load(now, "north").Utilization)
	}
	d = k.HandleSlotReply(now, req, denied, true)
	if d.Server != nil || !d.NotRun || d.Reason != ReasonUrgentFirst {
		t.Fatalf("got %+v with busy servers, want the request rejected as not run for urgent ones", d)
	}
	if latest := 300 * time.Millisecond; d.RetryAfter <= 0 || d.RetryAfter > latest {
		t.Errorf("got retry delay %s, want at most %s, half of the target", d.RetryAfter, latest)
	}
}

// Guards against less urgent requests that are rejected beside an idle server of their region, because
// the busy ones send most of the load reports.
func TestLessUrgentRequestWithoutSlotRunsAtIdleServer(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := yieldKernel(now, 1, "s", "other")
	req, d := k.BeginRequest(now, Request{Host: "host", Path: "/plain/x", Object: "1"})
	if d.SlotRequest == nil {
		t.Fatalf("got %+v, want a slot request", d)
	}
	home := k.servers[d.Server.ID]
	idle := k.servers[map[string]string{"s": "other", "other": "s"}[home.id]]
	for range 20 {
		k.recordQueue(now, req, idle, 0, 0)
		for range 9 {
			k.recordQueue(now, req, home, 1, 0)
		}
	}
	home.recordLoad(now, 1, 0)
	idle.recordLoad(now, 0, 0)
	d = k.HandleSlotReply(now, req, SlotReply{Grant: admission.Grant{Verdict: admission.Denied}}, true)
	if d.Server == nil || d.Server.ID != idle.id {
		t.Errorf("got %+v, want the request at the idle server", d)
	}
}

// Guards against less urgent requests that are rejected at a busy server, which was only a substitute
// for their home, while the home has returned and is idle.
func TestLessUrgentRequestWithoutSlotRunsAtHomeThatReturned(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := yieldKernel(now, 1, "s", "other")
	begin := func() (*ActiveRequest, Decision) {
		return k.BeginRequest(now, Request{Host: "host", Path: "/plain/x", Object: "1"})
	}
	_, d := begin()
	home := k.servers[d.Server.ID].Server
	k.RemoveServer(now, home.ID)
	req, d := begin()
	if d.SlotRequest == nil {
		t.Fatalf("got %+v without the home, want a slot request", d)
	}
	k.HandleSlotReply(now, req, k.HandleSlotRequest(now, *d.SlotRequest), true)
	k.EndAttempt(now.Add(100*time.Millisecond), req, Attempt{Result: ResultResponded})
	k.RegisterServer(now, home)
	for range 20 {
		k.recordQueue(now, req, req.server, 1, 0)
	}
	req, d = begin()
	if d.SlotRequest == nil || d.SlotRequest.Server == home.ID {
		t.Fatalf("got %+v, want a slot request at the warm substitute", d)
	}
	d = k.HandleSlotReply(now, req, SlotReply{Grant: admission.Grant{Verdict: admission.Denied}}, true)
	if d.Server == nil || d.Server.ID != home.ID {
		t.Errorf("got %+v, want the request at its home", d)
	}
}
