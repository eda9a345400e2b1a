package steering

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// sendToRejectingHome sends requests for one object, 20 ms apart for ten seconds, to two servers,
// of which the object's home rejects a share. It counts the rejected requests and the attempts at
// the home.
func sendToRejectingHome(share float64, loaded bool) (rejected, atHome int) {
	now := time.Unix(1_000_000, 0)
	fleet, _ := coldServerFleet(now)
	k := fleet[0]
	k.RemoveServer(now, "cold")
	for _, id := range []string{"a", "b"} {
		k.RegisterServer(now, routing.Server{ID: id, Service: "service", Domain: "north-a", Slots: 4})
	}
	random := rand.New(rand.NewPCG(1, 1))
	home := ""
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		req, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/x", Object: "o", Deadline: now.Add(time.Second)})
		if d.Server != nil && home == "" {
			home = d.Server.ID
		}
		for d.Server != nil {
			a := Attempt{Result: ResultResponded, Loaded: loaded}
			if d.Server.ID == home {
				atHome++
				if random.Float64() < share {
					a.Result = ResultRejected
				}
			}
			d = k.EndAttempt(now, req, a)
		}
		if !d.ReturnResponse {
			rejected++
		}
	}
	return rejected, atHome
}

// A server rejects all requests although it has free slots: it was started without a dependency, or
// drains without reporting it. Because it looked idle, it kept getting the requests of its objects,
// and each was rejected or needed a retry. A server that rejects some requests at random is still
// warm for its objects and must keep them.
func TestServerThatRejectsEverythingIsEjected(t *testing.T) {
	for _, loaded := range []bool{true, false} {
		if rejected, atHome := sendToRejectingHome(1, loaded); rejected > 20 || atHome > 40 {
			t.Errorf("all rejected, load reported %t: %d of 500 requests rejected, %d sent to the home; want at most 20 and 40", loaded, rejected, atHome)
		}
	}
	if rejected, atHome := sendToRejectingHome(0.45, true); atHome < 450 {
		t.Errorf("some rejected: %d of 500 requests rejected, %d sent to the home; want at least 450 sent to it", rejected, atHome)
	}
}
