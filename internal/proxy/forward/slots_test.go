package forward

import (
	"context"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

// slotRequest is a request from one proxy of a fleet to another for a slot at the only server,
// whose limiter allows one request at a time.
func (f *fleet) slotRequest(from, owner int, id uint64) steering.SlotRequest {
	d := f.daemons[from]
	now := d.now()
	return steering.SlotRequest{
		Owner: steering.Proxy{Name: f.daemons[owner].settings.Name}, Server: "s1", Limit: admission.Limit{Slots: 4, Max: 1, Samples: 100},
		Ticket: admission.Ticket{ID: id, From: d.settings.Name, Good: now.Add(time.Second), Last: now.Add(5 * time.Second), Until: now.Add(10 * time.Second)},
	}
}

// waitForMembership waits until all proxies know each other.
func (f *fleet) waitForMembership() {
	f.t.Helper()
	f.eventually("all proxies are known", func() bool {
		for _, d := range f.daemons {
			if len(d.replica.proxies()) != len(f.daemons) {
				return false
			}
		}
		return true
	})
}

// Two proxies need a slot at a server that should run one request at a time. The first proxy owns
// the limiter. The second must wait until the first one's slot is released, but no longer than the
// slot is of use to it.
func TestSlotsPassBetweenProxies(t *testing.T) {
	f := newFleet(t, 2)
	f.waitForMembership()
	first, second := f.daemons[0].slots, f.daemons[1].slots
	request := f.slotRequest(0, 0, 1)
	if r, responded := first.acquire(context.Background(), request); !responded || r.Verdict != admission.Granted {
		t.Fatalf("the first proxy gets verdict %d (responded %t), want a slot", r.Verdict, responded)
	}
	replies := make(chan steering.SlotReply, 1)
	go func() {
		r, _ := second.acquire(context.Background(), f.slotRequest(1, 0, 1))
		replies <- r
	}()
	f.eventually("the second proxy waits", func() bool {
		var waiting int
		f.daemons[0].withKernel(func(k *steering.Kernel, now time.Time) {
			waiting = k.HandleSlotRequest(now, request).Waiting
		})
		return waiting == 1
	})
	first.release(steering.SlotRelease{Owner: request.Owner, Server: "s1", From: request.From, ID: request.ID})
	if r := <-replies; r.Verdict != admission.Granted {
		t.Errorf("the second proxy gets verdict %d, want a slot", r.Verdict)
	}
	expiring := f.slotRequest(1, 0, 2)
	expiring.Last = f.daemons[1].now().Add(50 * time.Millisecond)
	if r, responded := second.acquire(context.Background(), expiring); !responded || r.Verdict != admission.Denied {
		t.Errorf("verdict after the deadline is %d (responded %t), want denied", r.Verdict, responded)
	}
}

// The proxy that owns a limiter is killed. Requests for a slot must not block for longer than one
// call takes; the callers' requests are then sent without a slot.
func TestUnreachableOwnerDoesNotBlock(t *testing.T) {
	f := newFleet(t, 2)
	f.waitForMembership()
	a := f.slotRequest(0, 1, 1)
	f.stops[1]()
	f.endConnections(1)
	if _, responded := f.daemons[0].slots.acquire(context.Background(), a); responded {
		t.Error("got a reply from a proxy that is gone")
	}
	a.Owner.Name = "nobody"
	if _, responded := f.daemons[0].slots.acquire(context.Background(), a); responded {
		t.Error("got a reply from a proxy that never existed")
	}
}

// A caller disconnects while its request waits for a slot: the wait must end at once.
func TestCanceledRequestStopsWaiting(t *testing.T) {
	f := newFleet(t, 1)
	p := f.daemons[0].slots
	// Until the server is known, nobody limits its requests.
	f.eventually("the server is known", func() (known bool) {
		f.daemons[0].withKernel(func(k *steering.Kernel, now time.Time) {
			known = !k.HandleSlotRequest(now, f.slotRequest(0, 0, 1)).Unknown
		})
		return known
	})
	if r, _ := p.acquire(context.Background(), f.slotRequest(0, 0, 1)); r.Verdict != admission.Granted {
		t.Fatalf("verdict is %d, want a slot", r.Verdict)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan bool, 1)
	go func() {
		_, responded := p.acquire(ctx, f.slotRequest(0, 0, 2))
		ended <- responded
	}()
	cancel()
	if responded := <-ended; responded {
		t.Error("the request of a disconnected caller got a slot")
	}
}

// All processes restart after they have learned that the servers of a service slow down when full.
// If each had to learn it again while callers return, every queue would be full for ten seconds.
// The limits in the entries must stay in force for the leases.
func TestLearnedLimitsSurviveRestart(t *testing.T) {
	f := newFleet(t, 2)
	f.waitForMembership()
	limits := []steering.ServiceLimit{{Service: "service", Limit: admission.Limit{Slots: 4, Max: 2, Samples: 50}}}
	f.daemons[0].withKernel(func(k *steering.Kernel, now time.Time) {
		// A reply of the limiter with a lower limit counts as learned by this proxy itself.
		k.ApplyConcurrencyLimits(now, limits)
		f, d := k.BeginRequest(now, steering.Request{ID: "r", Host: "127.0.0.1", Path: "/a/x", Object: "o", Deadline: now.Add(time.Second)})
		if d.SlotRequest == nil {
			t.Errorf("the request needs no slot: %+v", d)
			return
		}
		k.HandleSlotReply(now, f, steering.SlotReply{Grant: admission.Grant{Verdict: admission.Granted}, Limit: limits[0].Limit}, true)
	})
	f.eventually("the other proxy applies the limit from the entry", func() bool {
		needsSlot := false
		f.daemons[1].withKernel(func(k *steering.Kernel, now time.Time) {
			f, d := k.BeginRequest(now, steering.Request{ID: "q", Host: "127.0.0.1", Path: "/a/x", Object: "o", Deadline: now.Add(time.Second)})
			if needsSlot = d.SlotRequest != nil; d.Server != nil {
				k.EndAttempt(now, f, steering.Attempt{Result: steering.ResultCallerGone})
			}
		})
		return needsSlot
	})
}
