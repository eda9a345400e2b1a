package placing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// An object that is requested five times as often as one server can handle needs more than five
// servers, since each also serves other objects. A rarely requested object needs only its home
// server.
func TestReplicaCountFollowsDemand(t *testing.T) {
	const work = 250 * time.Millisecond
	for _, c := range []struct {
		perSecond float64
		work      time.Duration
		slots     int
		want      int
	}{
		{0, work, 4, 1},
		{1, work, 4, 1},
		{9, work, 4, 1},
		{16, work, 4, 2},
		{80, work, 4, 9},
		{10_000, work, 4, MaxReplicas},
		{16, 0, 4, 1},
		{16, work, 0, 1},
	} {
		if got := ReplicaCount(c.perSecond, c.work, c.slots); got != c.want {
			t.Errorf("ReplicaCount(%v, %v, %d) = %d, want %d", c.perSecond, c.work, c.slots, got, c.want)
		}
	}
}

// When a server leaves, the other nearest servers of an object, which are its replicas, must stay
// the same.
func TestNearestServersAreStableWhenOneLeaves(t *testing.T) {
	list := servers(40)
	for n := range 50 {
		object := fmt.Sprintf("%x", n)
		r := NewRanking()
		r.Update(list)
		before := r.Nearest("", nil, Object{Name: object})[:5]
		gone := before[n%5]
		r.Update(slices.DeleteFunc(slices.Clone(list), func(s Server) bool { return s.ID == gone }))
		after := r.Nearest("", nil, Object{Name: object})[:5]
		kept := 0
		for _, id := range after {
			if slices.Contains(before, id) {
				kept++
			}
		}
		if kept != 4 || slices.Contains(after, gone) {
			t.Errorf("object %s: nearest servers were %v and are %v without %s, want four of them kept", object, before, after, gone)
		}
	}
	r := NewRanking()
	r.Update(list[:2])
	if got := r.Nearest("", nil, Object{Name: "1"}); len(got) != 2 {
		t.Errorf("two servers: got %v, want both", got)
	}
	if got := r.Nearest("other", nil, Object{Name: "1"}); got != nil {
		t.Errorf("a class without servers: got %v, want none", got)
	}
}

// Each of a hundred proxies sees a hundredth of the requests. A single request at one proxy must
// not be taken for a hundred, while constant requests must show as demand.
func TestSingleRequestGivesNoDemand(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var d Demand
	d.Record(now, Object{Name: "rare"})
	for i := range 40 {
		d.Record(now.Add(time.Duration(i)*250*time.Millisecond), Object{Name: "often"})
	}
	now = now.Add(10 * time.Second)
	if got := d.LowerBound(now, Object{Name: "rare"}); got != 0 {
		t.Errorf("an object requested once: %v per second, want 0", got)
	}
	if got := d.LowerBound(now, Object{Name: "often"}); got < 2.5 || got > 4 {
		t.Errorf("an object requested four times a second: lower bound %.2f, want 2.5 to 4", got)
	}
	if got := d.LowerBound(now.Add(time.Minute), Object{Name: "often"}); got != 0 {
		t.Errorf("a minute after its last request: %v per second, want 0", got)
	}
	if got := d.LowerBound(now, Object{Name: "never"}); got != 0 {
		t.Errorf("an object never requested: %v per second, want 0", got)
	}
}

// Callers keep requesting new objects. The number of tracked objects must stay bounded, and an
// object that is requested often must still be counted.
func TestDemandTracksBoundedNumberOfObjects(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var d Demand
	for i := range 3 * maxDemandObjects {
		now = now.Add(10 * time.Millisecond)
		d.Record(now, Object{Name: fmt.Sprint("object-", i)})
		if i%25 == 0 {
			d.Record(now, Object{Name: "often"})
		}
	}
	if got := len(d.objects); got > maxDemandObjects {
		t.Errorf("%d objects are tracked, want at most %d", got, maxDemandObjects)
	}
	if got := d.LowerBound(now, Object{Name: "often"}); got < 2 {
		t.Errorf("the object requested four times a second: lower bound %.2f, want at least 2", got)
	}
}
