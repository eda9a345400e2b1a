package steering

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// limitedFleet returns the kernels of two proxies of one region that limit the concurrency of one
// server to two of its three slots.
func limitedFleet(now time.Time) (fleet []*Kernel) {
	proxies := []Proxy{{Name: "proxy-0", Domain: "north-a", Region: "north"}, {Name: "proxy-1", Domain: "north-a", Region: "north"}}
	for _, p := range proxies {
		k := New(Config{Name: p.Name, Domain: p.Domain, Region: p.Region, RegionOf: regionOf, Bounds: Bounds{Retry: ampleRetries}})
		k.SetTable(routing.NewTable(1, []*routing.Route{
			{Name: "route", Host: "host", Prefix: "/a/", Sticky: true, Attempts: 2, Timeout: 2 * time.Second, Target: time.Second, Parts: []routing.WeightedService{{Service: "service", Weight: 1}}},
			{Name: "short", Host: "host", Prefix: "/short/", Attempts: 1, Timeout: 300 * time.Millisecond, Target: time.Second, Parts: []routing.WeightedService{{Service: "service", Weight: 1}}},
		}, nil, routing.Limits{}))
		k.SetProxies(now, proxies)
		k.RegisterServer(now, routing.Server{ID: "s", Service: "service", Domain: "north-a", Slots: 3})
		k.RecordRoundTrip("north-a", time.Millisecond)
		k.ApplyConcurrencyLimits(now, []ServiceLimit{{Service: "service", Limit: admission.Limit{Slots: 3, Max: 2, Samples: 100}}})
		fleet = append(fleet, k)
	}
	return fleet
}

func beginWithSlotRequest(t *testing.T, k *Kernel, now time.Time, id, path string) (*ActiveRequest, SlotRequest) {
	t.Helper()
	req, d := k.BeginRequest(now, Request{ID: id, Host: "host", Path: path, Object: id, Deadline: now.Add(4 * time.Second)})
	if d.Server == nil || d.SlotRequest == nil {
		t.Fatalf("request %s: %+v, want a slot request", id, d)
	}
	return req, *d.SlotRequest
}

// A server with three slots slows down when the third is used. Requests reach two proxies at the
// same time. Both must use the same limiter, and no more than two requests may run.
func TestProxiesShareTheConcurrencyLimit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fleet := limitedFleet(now)
	owner := fleet[0]
	granted, grantedRequests := 0, make(map[uint64]*ActiveRequest)
	for i := range 6 {
		k := fleet[i%2]
		req, slotRequest := beginWithSlotRequest(t, k, now, fmt.Sprint("r", i), "/a/x")
		if slotRequest.Owner.Name != fleet[0].Name() {
			owner = fleet[1]
		}
		reply := owner.HandleSlotRequest(now, slotRequest)
		if reply.Verdict == admission.Granted {
			granted++
			grantedRequests[slotRequest.ID] = req
			if d := k.HandleSlotReply(now, req, reply, true); d.Server == nil || d.SlotRequest != nil {
				t.Errorf("granted: got %+v, want the request sent", d)
			}
			d := k.EndAttempt(now.Add(300*time.Millisecond), req, Attempt{Result: ResultResponded, Loaded: true, Running: 1})
			if d.SlotRelease == nil || d.SlotRelease.Server != "s" {
				t.Fatalf("the slot is not released: %+v", d)
			}
			if i == 5 {
				continue
			}
		}
	}
	if granted != 2 {
		t.Errorf("%d of six slot requests were granted, want 2", granted)
	}
}

// The owner of a limiter is gone or partitioned. A request that got no reply from it must be sent
// as without a limiter, and the next requests must not wait for a reply.
func TestLostSlotReplyDoesNotBlockRequests(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := limitedFleet(now)[0]
	req, _ := beginWithSlotRequest(t, k, now, "r", "/a/x")
	if d := k.HandleSlotReply(now, req, SlotReply{}, false); d.Server == nil || d.SlotRequest != nil {
		t.Errorf("no reply: got %+v, want the request sent", d)
	}
	_, d := k.BeginRequest(now, Request{ID: "q", Host: "host", Path: "/a/x", Object: "q"})
	if d.Server == nil || d.SlotRequest != nil {
		t.Errorf("the next request: got %+v, want it sent without a slot request", d)
	}
	if _, d := k.BeginRequest(now.Add(2*time.Second), Request{ID: "p", Host: "host", Path: "/a/x", Object: "p"}); d.SlotRequest == nil {
		t.Error("no slot is requested from the owner 2 s later")
	}
}

// A limiter denies a slot that would become free too late. The request is rejected as not run, with
// a retry delay, and the slot, if there is one, is released.
func TestRequestDeniedASlotHasNotRun(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := limitedFleet(now)[0]
	req, slotRequest := beginWithSlotRequest(t, k, now, "r", "/a/x")
	d := k.HandleSlotReply(now, req, SlotReply{Grant: admission.Grant{Ticket: slotRequest.Ticket, Verdict: admission.Denied}}, true)
	if d.Server != nil || !d.NotRun || d.RetryAfter <= 0 || d.SlotRelease == nil || d.Reason != ReasonQueuesTooLong {
		t.Errorf("denied: got %+v, want it rejected as not run", d)
	}
	if got := k.Status(now).InFlight; got != 0 {
		t.Errorf("%d requests count as in flight, want none", got)
	}
}

// A caller disconnects while its request waits for a slot: the slot must be released.
func TestSlotIsReleasedWhenTheCallerLeaves(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := limitedFleet(now)[0]
	req, _ := beginWithSlotRequest(t, k, now, "r", "/a/x")
	if d := k.EndAttempt(now, req, Attempt{Result: ResultCallerGone}); d.SlotRelease == nil || d.Reason != ReasonCallerGone {
		t.Errorf("caller gone: got %+v, want the slot released", d)
	}
}

// A new route has a timeout shorter than its target, and the duration of its work is unknown. When
// slots were denied by an estimate of it, no request of the route ever ran, so the duration was
// never learned and the route stayed unavailable for good.
func TestSlotIsNotDeniedForUnknownWork(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fleet := limitedFleet(now)
	req, slotRequest := beginWithSlotRequest(t, fleet[0], now, "r", "/short/x")
	owner := fleet[0]
	if slotRequest.Owner.Name != owner.Name() {
		owner = fleet[1]
	}
	reply := owner.HandleSlotRequest(now, slotRequest)
	if d := fleet[0].HandleSlotReply(now, req, reply, true); reply.Verdict != admission.Granted || d.Server == nil {
		t.Errorf("verdict %d, decision %+v, want the slot granted and the request sent", reply.Verdict, d)
	}
}

// A server stops responding with requests in flight. Their timeouts do not show that servers slow
// down when full, and must not lead to concurrency limits.
func TestUnresponsiveServersAreNotLimited(t *testing.T) {
	for unresponsive, want := range map[bool]bool{true: false, false: true} {
		now := time.Unix(1_000_000, 0)
		k := New(Config{Name: "proxy", Domain: "north-a", Region: "north", RegionOf: regionOf})
		k.SetTable(routing.NewTable(1, []*routing.Route{{
			Name: "route", Host: "host", Prefix: "/a/", Sticky: true, Attempts: 1, Timeout: 2 * time.Second, Target: time.Second, Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
		}}, nil, routing.Limits{}))
		for _, id := range []string{"a", "b", "c", "d"} {
			k.RegisterServer(now, routing.Server{ID: id, Service: "service", Domain: "north-a", Slots: 2})
		}
		for n := range 120 {
			object := fmt.Sprint("o", n%12)
			req, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/x", Object: object})
			now = now.Add(50 * time.Millisecond)
			if d.Server == nil {
				continue
			}
			if !unresponsive || n < 24 {
				k.servers[d.Server.ID].respondedAt = now
			}
			result := ResultResponded
			if n >= 24 {
				result = ResultTimeout
				now = now.Add(time.Second)
				for _, s := range k.servers {
					s.use()
					s.ejections, s.ejectedUntil = 0, time.Time{}
				}
			}
			k.EndAttempt(now, req, Attempt{Result: result, Loaded: result == ResultResponded, Running: 1})
		}
		if got := len(k.ConcurrencyLimits(now)) > 0; got != want {
			t.Errorf("servers unresponsive %t: limited %t, want %t", unresponsive, got, want)
		}
	}
}

// While a request waits for a slot, its server starts to drain, is removed, has its failure domain
// evacuated, or restarts and is cold. Sent once the slot is granted, the request would reach a
// draining server too late, or exceed the request rate of a cold one. It must go to another server,
// and the slot must be released.
func TestWaitingRequestAvoidsAServerThatBecameUnsuitable(t *testing.T) {
	for name, change := range map[string]func(*Kernel, time.Time){
		"draining": func(k *Kernel, now time.Time) {
			k.RegisterServer(now, routing.Server{ID: "s", Service: "service", Domain: "north-a", Slots: 3, Draining: true})
		},
		"gone":      func(k *Kernel, now time.Time) { k.RemoveServer(now, "s") },
		"evacuated": func(k *Kernel, now time.Time) { k.SetDomainEvacuated(now, "north-a", true) },
		"cold": func(k *Kernel, now time.Time) {
			k.RegisterServer(now, routing.Server{ID: "s", Service: "service", Domain: "north-a", Slots: 3, ColdFor: time.Minute})
		},
	} {
		now := time.Unix(1_000_000, 0)
		k := limitedFleet(now)[0]
		req, slotRequest := beginWithSlotRequest(t, k, now, "r", "/a/x")
		k.RegisterServer(now, routing.Server{ID: "other", Service: "service", Domain: "north-b", Slots: 3})
		change(k, now)
		d := k.HandleSlotReply(now.Add(time.Second), req, SlotReply{Grant: admission.Grant{Ticket: slotRequest.Ticket, Verdict: admission.Granted, Rank: 1}}, true)
		if d.Server == nil || d.Server.ID != "other" || d.SlotRelease == nil || d.SlotRelease.Server != "s" {
			t.Errorf("%s: %+v, want the other server and the slot released", name, d)
		}
	}
}

// A cold server can handle a few requests per second, counted when they are sent. A request that
// waited for a slot would be counted in one second and sent in the next.
func TestNoSlotIsRequestedAtAColdServer(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := limitedFleet(now)[0]
	k.SetTable(routing.NewTable(2, []*routing.Route{{
		Name: "route", Host: "host", Prefix: "/a/", Sticky: true, Attempts: 2, Timeout: 2 * time.Second, Target: time.Second, Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
	}}, []*routing.Service{{Name: "service", ColdStart: time.Minute, ColdPerSecond: 10}}, routing.Limits{}))
	k.SetBounds(Bounds{Retry: ampleRetries, ColdFactor: 1.5, ColdSlack: 5})
	k.RegisterServer(now, routing.Server{ID: "s", Service: "service", Domain: "north-a", Slots: 3, ColdFor: time.Minute})
	_, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/x", Object: "o", Deadline: now.Add(4 * time.Second)})
	if d.Server == nil || d.SlotRequest != nil {
		t.Errorf("at a cold server: %+v, want it sent without a slot request", d)
	}
}

// The servers of a service have different numbers of slots. The limit of servers with three slots
// must not apply to those with thirty.
func TestConcurrencyLimitsAreKeptPerSlotCount(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fleet := limitedFleet(now)
	for _, k := range fleet {
		k.RemoveServer(now, "s")
		k.RegisterServer(now, routing.Server{ID: "wide", Service: "service", Domain: "north-a", Slots: 30})
	}
	_, slotRequest := beginWithSlotRequest(t, fleet[0], now, "r", "/a/x")
	owner := fleet[0]
	if slotRequest.Owner.Name != owner.Name() {
		owner = fleet[1]
	}
	if got := owner.HandleSlotRequest(now, slotRequest).Limit; got.Slots != 30 || got.Max != 30 {
		t.Errorf("a server with 30 slots has the limit %+v", got)
	}
}

// Operators have switched concurrency limits off. A proxy that kept detecting slowdowns reported to
// its log and its peers that it limited a service, and rewrote its entry in the store, although no
// slots were requested.
func TestNoSlowdownIsDetectedWithConcurrencyLimitsOff(t *testing.T) {
	for _, off := range []bool{false, true} {
		now := time.Unix(1_000_000, 0)
		events := 0
		config := Config{Name: "proxy", Domain: "north-a", Region: "north", RegionOf: regionOf, Observe: func(e Event) {
			if e.Kind == EventConcurrencyLimited {
				events++
			}
		}}
		if off {
			config.Off = []Mechanism{MechanismConcurrencyLimit}
		}
		k := New(config)
		k.ApplyConcurrencyLimits(now, []ServiceLimit{{Service: "service", Limit: admission.Limit{Slots: 3, Max: 2, Samples: 100}}})
		svc := k.service("slow")
		req := &ActiveRequest{Route: &routing.Route{Name: "route", Sticky: true, Target: 100 * time.Millisecond}, Service: "slow", sentAttempt: sentAttempt{warm: true}}
		for n := range 40 {
			s := &server{id: fmt.Sprint(n % 4), Server: routing.Server{Slots: 3}, rtt: &rttEstimate{}, serverUse: newServerUse()}
			k.detectSlowdown(now, req, s, svc, Attempt{Result: ResultResponded, Loaded: true, Running: 3}, time.Second)
		}
		if got := events > 0 || len(k.ConcurrencyLimits(now)) > 0; got == off {
			t.Errorf("concurrency limits off %t: %d events, limits sent to peers: %v", off, events, k.ConcurrencyLimits(now))
		}
	}
}
