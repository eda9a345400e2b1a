package steering

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// twoRouteTable returns a configuration in which two sticky routes of different priorities use one
// service.
func twoRouteTable(version uint64) *routing.Table {
	route := func(name string, priority int, target time.Duration) *routing.Route {
		return &routing.Route{
			Name: name, Host: "host", Prefix: "/" + name + "/", Sticky: true, Idempotent: true, Attempts: 2, Priority: priority,
			Timeout: 3 * time.Second, Target: target, Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
		}
	}
	routes := []*routing.Route{route("urgent", 0, 250*time.Millisecond), route("archive", 2, 2*time.Second)}
	return routing.NewTable(version, routes, []*routing.Service{{Name: "service"}}, routing.Limits{})
}

// Object 15 of a route made its server look warm for object 15 of another route of the service, its
// requests counted as demand for that object, and both had the same home.
func TestObjectsBelongToRoutes(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := replicaKernel(now, "one")
	var objects []string
	k.config.Observe = func(e Event) {
		if e.Kind == EventRequestEnded {
			objects = append(objects, e.Object)
		}
	}
	send := func(route, object string) *ActiveRequest {
		req, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/" + route + "/x", Object: object})
		if d.Server == nil {
			t.Fatalf("%s: got %+v, want a server", route, d)
		}
		now = now.Add(60 * time.Millisecond)
		k.EndAttempt(now, req, Attempt{Result: ResultResponded})
		return req
	}
	before := send("x", "15").server
	k.SetTable(twoRouteTable(2))
	shared := 0
	for n := range 8 {
		object := fmt.Sprintf("%x", n)
		urgent, archive := send("urgent", object), send("archive", object)
		if urgent.server == archive.server {
			shared++
		}
		if archive.warm {
			t.Errorf("%s counts as warm for object %s of the archive, which it has not handled", archive.server.id, object)
		}
	}
	if shared > 2 {
		t.Errorf("%d of 8 objects have the same home on both routes, want at most the two that chance gives with 16 servers", shared)
	}
	if again := send("urgent", "1"); !again.warm {
		t.Errorf("%s is not warm for the object that it has handled", again.server.id)
	}
	for range 40 {
		send("archive", "15")
	}
	demand := &k.service("service").demand
	if got := demand.LowerBound(now, placing.Object{Route: "urgent", Name: "15"}); got != 0 {
		t.Errorf("requests of the archive count as %.1f requests per second for the urgent object, want none", got)
	}
	if got := objects[len(objects)-1]; got != "15" {
		t.Errorf("the event names object %q, want 15 as the caller sent it", got)
	}
	k.SetTable(routing.NewTable(3, []*routing.Route{stickyTable(time.Second).Routes["route"]}, nil, routing.Limits{}))
	now = now.Add(time.Minute)
	if got := send("x", "15").server; got != before {
		t.Errorf("with a single route again, the home is %s, want %s as before", got.id, before.id)
	}
}
