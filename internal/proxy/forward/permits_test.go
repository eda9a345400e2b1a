package forward

import (
	"context"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

// permitRequest is a question of one proxy of a fleet to another for a place at the only
// server, whose gate lets one run.
func (f *fleet) permitRequest(from, owner int, id uint64) steering.Ask {
	d := f.daemons[from]
	now := d.now()
	return steering.Ask{
		Owner: steering.Proxy{Name: f.daemons[owner].settings.Name}, Server: "s1", Limit: admission.Limit{Slots: 4, Most: 1, Evidence: 100},
		Ticket: admission.Ticket{ID: id, From: d.settings.Name, Good: now.Add(time.Second), Last: now.Add(5 * time.Second), Until: now.Add(10 * time.Second)},
	}
}

// waitForMembership waits until all proxies have heard of each other.
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

// Two proxies want a place at a server that should run one request at a time. The
// gate is at the first. The second waits until the first one's place is given back,
// and no longer than a place is of use to it.
func TestPermitsPassBetweenProxies(t *testing.T) {
	f := newFleet(t, 2)
	f.waitForMembership()
	first, second := f.daemons[0].permits, f.daemons[1].permits
	own := f.permitRequest(0, 0, 1)
	if r, answered := first.acquire(context.Background(), own); !answered || r.Verdict != admission.Granted {
		t.Fatalf("the first gets verdict %d (%t)", r.Verdict, answered)
	}
	granted := make(chan steering.Reply, 1)
	go func() {
		r, _ := second.acquire(context.Background(), f.permitRequest(1, 0, 1))
		granted <- r
	}()
	f.eventually("the second waits", func() bool {
		var waiting int
		f.daemons[0].withKernel(func(k *steering.Kernel, now time.Time) {
			waiting = k.HearAsk(now, own).Waiting
		})
		return waiting == 1
	})
	first.release(steering.Release{Owner: own.Owner, Server: "s1", From: own.From, ID: own.ID})
	if r := <-granted; r.Verdict != admission.Granted {
		t.Errorf("the second gets verdict %d, want its place", r.Verdict)
	}
	late := f.permitRequest(1, 0, 2)
	late.Last = f.daemons[1].now().Add(50 * time.Millisecond)
	if r, answered := second.acquire(context.Background(), late); !answered || r.Verdict != admission.Denied {
		t.Errorf("a place that comes too late: verdict %d (%t), want it denied", r.Verdict, answered)
	}
}

// The proxy that owns a gate is killed. Whoever asks it must not wait for longer than
// one question takes; its request is sent without a place.
func TestUnreachableOwnerDoesNotBlock(t *testing.T) {
	f := newFleet(t, 2)
	f.waitForMembership()
	a := f.permitRequest(0, 1, 1)
	f.stops[1]()
	f.endConnections(1)
	if _, answered := f.daemons[0].permits.acquire(context.Background(), a); answered {
		t.Error("a proxy that is gone has answered")
	}
	a.Owner.Name = "nobody"
	if _, answered := f.daemons[0].permits.acquire(context.Background(), a); answered {
		t.Error("a proxy that never was has answered")
	}
}

// A caller leaves while its request waits: the wait ends at once.
func TestCanceledRequestStopsWaiting(t *testing.T) {
	f := newFleet(t, 1)
	p := f.daemons[0].permits
	if r, _ := p.acquire(context.Background(), f.permitRequest(0, 0, 1)); r.Verdict != admission.Granted {
		t.Fatalf("verdict %d, want a place", r.Verdict)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan bool, 1)
	go func() {
		_, answered := p.acquire(ctx, f.permitRequest(0, 0, 2))
		ended <- answered
	}()
	cancel()
	if answered := <-ended; answered {
		t.Error("a caller that left has got a place")
	}
}

// All processes lose power after they have learned that the servers of a service slow
// down when full. If each had to learn it again while callers come back, every queue
// would be full for ten seconds; what an entry says of it holds for its lease.
func TestLearnedLimitsSurviveRestart(t *testing.T) {
	f := newFleet(t, 2)
	f.waitForMembership()
	held := []steering.Held{{Service: "service", Limit: admission.Limit{Slots: 4, Most: 2, Evidence: 50}}}
	f.daemons[0].withKernel(func(k *steering.Kernel, now time.Time) {
		// A gate that says that fewer should run is a proxy's own sign.
		k.SetHolding(now, held)
		f, d := k.Begin(now, steering.Request{ID: "r", Host: "127.0.0.1", Path: "/a/x", Object: "o", Deadline: now.Add(time.Second)})
		if d.Ask == nil {
			t.Errorf("not held back: %+v", d)
			return
		}
		k.Asked(now, f, steering.Reply{Grant: admission.Grant{Verdict: admission.Granted}, Limit: held[0].Limit}, true)
	})
	f.eventually("the entry tells the limit, and the other proxy holds back", func() bool {
		asks := false
		f.daemons[1].withKernel(func(k *steering.Kernel, now time.Time) {
			f, d := k.Begin(now, steering.Request{ID: "q", Host: "127.0.0.1", Path: "/a/x", Object: "o", Deadline: now.Add(time.Second)})
			if asks = d.Ask != nil; d.Server != nil {
				k.Ended(now, f, steering.Attempt{Result: steering.Left})
			}
		})
		return asks
	})
}
