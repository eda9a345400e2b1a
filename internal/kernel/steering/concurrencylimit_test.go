package steering

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// limitedFleet makes two proxies of one region that hold back before one server of
// three slots, of which two should be used.
func limitedFleet(now time.Time) (fleet []*Kernel) {
	list := []Proxy{{Name: "proxy-0", Domain: "north-a", Region: "north"}, {Name: "proxy-1", Domain: "north-a", Region: "north"}}
	for _, p := range list {
		k := New(Config{Name: p.Name, Domain: p.Domain, Region: p.Region, RegionOf: regionOf, Bounds: Bounds{Retry: RetryBudget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}}})
		k.SetTable(routing.NewTable(1, []*routing.Route{
			{Name: "route", Host: "host", Prefix: "/a/", Sticky: true, Attempts: 2, Timeout: 2 * time.Second, Target: time.Second, Parts: []routing.Part{{Service: "service", Weight: 1}}},
			{Name: "short", Host: "host", Prefix: "/short/", Attempts: 1, Timeout: 300 * time.Millisecond, Target: time.Second, Parts: []routing.Part{{Service: "service", Weight: 1}}},
		}, nil, routing.Limits{}))
		k.SetProxies(now, list)
		k.RegisterServer(now, routing.Server{ID: "s", Service: "service", Domain: "north-a", Slots: 3})
		k.RecordRoundTrip("north-a", time.Millisecond)
		k.ApplyConcurrencyLimits(now, []ServiceLimit{{Service: "service", Limit: admission.Limit{Slots: 3, Max: 2, Samples: 100}}})
		fleet = append(fleet, k)
	}
	return fleet
}

func beginWithSlotRequest(t *testing.T, k *Kernel, now time.Time, id, path string) (*ActiveRequest, SlotRequest) {
	t.Helper()
	f, d := k.BeginRequest(now, Request{ID: id, Host: "host", Path: path, Object: id, Deadline: now.Add(4 * time.Second)})
	if d.Server == nil || d.SlotRequest == nil {
		t.Fatalf("request %s: %+v, want a question for a place", id, d)
	}
	return f, *d.SlotRequest
}

// Servers of three slots slow down when the third is used. Requests of two proxies
// come at once; all ask the same gate, and no more than two run.
func TestProxiesShareTheConcurrencyLimit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fleet := limitedFleet(now)
	owner := fleet[0]
	granted, flights := 0, make(map[uint64]*ActiveRequest)
	for i := range 6 {
		k := fleet[i%2]
		f, a := beginWithSlotRequest(t, k, now, fmt.Sprint("r", i), "/a/x")
		if a.Owner.Name != fleet[0].Name() {
			owner = fleet[1]
		}
		reply := owner.HandleSlotRequest(now, a)
		if reply.Verdict == admission.Granted {
			granted++
			flights[a.ID] = f
			if d := k.HandleSlotReply(now, f, reply, true); d.Server == nil || d.SlotRequest != nil {
				t.Errorf("granted, and then %+v; want it sent", d)
			}
			d := k.EndAttempt(now.Add(300*time.Millisecond), f, Attempt{Result: ResultAnswered, Loaded: true, Running: 1})
			if d.SlotRelease == nil || d.SlotRelease.Server != "s" {
				t.Fatalf("the place is not given back: %+v", d)
			}
			if i == 5 {
				continue
			}
		}
	}
	if granted != 2 {
		t.Errorf("%d of six were granted, want 2", granted)
	}
}

// The owner of a gate is gone or cut off. Its answer must not be waited for twice,
// and the request goes out as it would without a gate.
func TestUnansweredSlotRequestDoesNotBlockRequests(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := limitedFleet(now)[0]
	f, _ := beginWithSlotRequest(t, k, now, "r", "/a/x")
	if d := k.HandleSlotReply(now, f, SlotReply{}, false); d.Server == nil || d.SlotRequest != nil {
		t.Errorf("no answer, and then %+v; want it sent", d)
	}
	_, d := k.BeginRequest(now, Request{ID: "q", Host: "host", Path: "/a/x", Object: "q"})
	if d.Server == nil || d.SlotRequest != nil {
		t.Errorf("the next request: %+v, want it sent without a question", d)
	}
	if _, d := k.BeginRequest(now.Add(2*time.Second), Request{ID: "p", Host: "host", Path: "/a/x", Object: "p"}); d.SlotRequest == nil {
		t.Error("the owner is not asked again after a while")
	}
}

// A gate denies a place that would come too late. The request has not run, its caller
// learns when to come back, and the place, should there be one, is given back.
func TestRequestDeniedASlotHasNotRun(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := limitedFleet(now)[0]
	f, a := beginWithSlotRequest(t, k, now, "r", "/a/x")
	d := k.HandleSlotReply(now, f, SlotReply{Grant: admission.Grant{Ticket: a.Ticket, Verdict: admission.Denied}}, true)
	if d.Server != nil || !d.NotRun || d.RetryAfter <= 0 || d.SlotRelease == nil || d.Reason != ReasonQueuesTooLong {
		t.Errorf("denied, and then %+v; want it refused as not run", d)
	}
	if got := k.Status(now).InFlight; got != 0 {
		t.Errorf("%d requests count as in flight, want none", got)
	}
}

// The caller leaves while its request waits for a place: the place is given back.
func TestSlotIsReleasedWhenTheCallerLeaves(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := limitedFleet(now)[0]
	f, _ := beginWithSlotRequest(t, k, now, "r", "/a/x")
	if d := k.EndAttempt(now, f, Attempt{Result: ResultCallerGone}); d.SlotRelease == nil || d.Reason != ReasonCallerGone {
		t.Errorf("left, and then %+v; want the place given back", d)
	}
}

// A route that is new has a time-out that is shorter than its target, and nothing is
// known of its work. Denied by what its work might be, it never got a place, so it
// never became known, and the new route was out of service for good.
func TestSlotIsNotDeniedForUnknownWork(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fleet := limitedFleet(now)
	f, a := beginWithSlotRequest(t, fleet[0], now, "r", "/short/x")
	owner := fleet[0]
	if a.Owner.Name != owner.Name() {
		owner = fleet[1]
	}
	reply := owner.HandleSlotRequest(now, a)
	if d := fleet[0].HandleSlotReply(now, f, reply, true); reply.Verdict != admission.Granted || d.Server == nil {
		t.Errorf("verdict %d and then %+v, want it granted and sent", reply.Verdict, d)
	}
}

// A server falls silent with requests in it. They time out, which says nothing of how
// servers work when they are full, and nobody must be held back for it.
func TestUnresponsiveServersAreNotLimited(t *testing.T) {
	for silent, want := range map[bool]bool{true: false, false: true} {
		now := time.Unix(1_000_000, 0)
		k := New(Config{Name: "proxy", Domain: "north-a", Region: "north", RegionOf: regionOf})
		k.SetTable(routing.NewTable(1, []*routing.Route{{
			Name: "route", Host: "host", Prefix: "/a/", Sticky: true, Attempts: 1, Timeout: 2 * time.Second, Target: time.Second, Parts: []routing.Part{{Service: "service", Weight: 1}},
		}}, nil, routing.Limits{}))
		for _, id := range []string{"a", "b", "c", "d"} {
			k.RegisterServer(now, routing.Server{ID: id, Service: "service", Domain: "north-a", Slots: 2})
		}
		for n := range 120 {
			object := fmt.Sprint("o", n%12)
			f, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/x", Object: object})
			now = now.Add(50 * time.Millisecond)
			if d.Server == nil {
				continue
			}
			if !silent || n < 24 {
				k.servers[d.Server.ID].answeredAt = now
			}
			result := ResultAnswered
			if n >= 24 {
				result = ResultTimeout
				now = now.Add(time.Second)
				for _, s := range k.servers {
					s.ejections, s.ejectedUntil = 0, time.Time{}
				}
			}
			k.EndAttempt(now, f, Attempt{Result: result, Loaded: result == ResultAnswered, Running: 1})
		}
		if got := len(k.ConcurrencyLimits(now)) > 0; got != want {
			t.Errorf("servers silent %t: held back %t, want %t", silent, got, want)
		}
	}
}

// A request waits for a place, and its server begins to drain, or its failure domain is
// emptied, or it starts again and is cold. Sent when the place comes, it would reach a
// leaving server too late, or a cold one beyond what it bears. It goes elsewhere, and
// the place is given back.
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
		f, a := beginWithSlotRequest(t, k, now, "r", "/a/x")
		k.RegisterServer(now, routing.Server{ID: "other", Service: "service", Domain: "north-b", Slots: 3})
		change(k, now)
		d := k.HandleSlotReply(now.Add(time.Second), f, SlotReply{Grant: admission.Grant{Ticket: a.Ticket, Verdict: admission.Granted, Rank: 1}}, true)
		if d.Server == nil || d.Server.ID != "other" || d.SlotRelease == nil || d.SlotRelease.Server != "s" {
			t.Errorf("%s: %+v, want it at the other server and the place given back", name, d)
		}
	}
}

// A cold server bears a few requests a second, counted as they are sent. One that
// waited would be counted in one second and sent in the next.
func TestNoSlotIsRequestedAtAColdServer(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := limitedFleet(now)[0]
	k.SetTable(routing.NewTable(2, []*routing.Route{{
		Name: "route", Host: "host", Prefix: "/a/", Sticky: true, Attempts: 2, Timeout: 2 * time.Second, Target: time.Second, Parts: []routing.Part{{Service: "service", Weight: 1}},
	}}, []*routing.Service{{Name: "service", ColdStart: time.Minute, ColdPerSecond: 10}}, routing.Limits{}))
	k.SetBounds(Bounds{Retry: RetryBudget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}, ColdFactor: 1.5, ColdSlack: 5})
	k.RegisterServer(now, routing.Server{ID: "s", Service: "service", Domain: "north-a", Slots: 3, ColdFor: time.Minute})
	_, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/x", Object: "o", Deadline: now.Add(4 * time.Second)})
	if d.Server == nil || d.SlotRequest != nil {
		t.Errorf("at a cold server: %+v, want it sent without a question", d)
	}
}

// The servers of a service have unlike slots. What those of three should run at once
// must not be the limit of those of thirty.
func TestConcurrencyLimitsAreKeptPerSlotCount(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fleet := limitedFleet(now)
	for _, k := range fleet {
		k.RemoveServer(now, "s")
		k.RegisterServer(now, routing.Server{ID: "wide", Service: "service", Domain: "north-a", Slots: 30})
	}
	_, a := beginWithSlotRequest(t, fleet[0], now, "r", "/a/x")
	owner := fleet[0]
	if a.Owner.Name != owner.Name() {
		owner = fleet[1]
	}
	if got := owner.HandleSlotRequest(now, a).Limit; got.Slots != 30 || got.Max != 30 {
		t.Errorf("a server of 30 slots is limited to %+v", got)
	}
}

// Operators have switched holding back off. A proxy that went on suspecting servers
// told its log and its peers that it held requests back, and wrote its entry in the
// store anew, though nobody asked for a place.
func TestNoSlowdownIsDetectedWithConcurrencyLimitsOff(t *testing.T) {
	for _, off := range []bool{false, true} {
		now := time.Unix(1_000_000, 0)
		told := 0
		c := Config{Name: "proxy", Domain: "north-a", Region: "north", RegionOf: regionOf, Observe: func(e Event) {
			if e.Kind == EventConcurrencyLimited {
				told++
			}
		}}
		if off {
			c.Off = []Mechanism{MechanismConcurrencyLimit}
		}
		k := New(c)
		k.ApplyConcurrencyLimits(now, []ServiceLimit{{Service: "service", Limit: admission.Limit{Slots: 3, Max: 2, Samples: 100}}})
		svc := k.service("suspected")
		req := &ActiveRequest{Route: &routing.Route{Name: "route", Sticky: true, Target: 100 * time.Millisecond}, Service: "suspected", warm: true}
		for n := range 40 {
			s := &server{id: fmt.Sprint(n % 4), Server: routing.Server{Slots: 3}, rtt: &rttEstimate{}}
			k.detectSlowdown(now, req, s, svc, Attempt{Result: ResultAnswered, Loaded: true, Running: 3}, time.Second)
		}
		if got := told > 0 || len(k.ConcurrencyLimits(now)) > 0; got == off {
			t.Errorf("holding back off %t: told of %d services, tells peers %v", off, told, k.ConcurrencyLimits(now))
		}
	}
}
