package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/capacity"
)

// observed returns the load of a server with a room of 4 that reported these numbers of waiting
// requests.
func observed(waiting ...float64) *capacity.Queue {
	var q capacity.Queue
	for _, n := range waiting {
		q.Observe(start, capacity.Report{Running: 2, Waiting: n, Slots: 2, Room: 4})
	}
	return &q
}

func repeated(waiting float64, n int) []float64 {
	list := make([]float64, n)
	for i := range list {
		list[i] = waiting
	}
	return list
}

// rejectedShare returns the share of rejected requests and the last rejection.
func rejectedShare(s Shedder, region, server capacity.Load, r ShedRequest) (share float64, last ShedDecision) {
	const n = 2000
	random := rand.New(rand.NewPCG(1, 2))
	for range n {
		if d := s.Decide(region, server, r, random); d.Cause != ShedNone {
			share, last = share+1.0/n, d
		}
	}
	return share, last
}

// Guards against shedding because of a queue that is full in one report and empty in the next ones.
func TestShortQueueShedsNothing(t *testing.T) {
	if got := ShedRatio(observed(4, 0, 0, 0).Load(start, time.Second).Pressure); got != 0 {
		t.Errorf("share rejected is %.2f, want 0", got)
	}
}

// With long queues the shed ratio grows with the queue but stays below 1, so that the end of the
// overload is noticed.
func TestShedRatioGrowsWithQueue(t *testing.T) {
	before := 0.0
	for _, waiting := range []float64{3, 4, 6, 12} {
		got := ShedRatio(observed(repeated(waiting, 40)...).Load(start, time.Second).Pressure)
		if got < before || got > maxShedRatio {
			t.Errorf("%.0f waiting with a room of 4: share rejected is %.2f, want from %.2f to %.2f", waiting, got, before, maxShedRatio)
		}
		before = got
	}
	if before != maxShedRatio {
		t.Errorf("a queue of three times the room: share rejected is %.2f, want %.2f", before, maxShedRatio)
	}
}

// Guards against shedding that never ends: without responses nothing is known of the queue, so
// requests must be sent again.
func TestPressureDecaysWithoutReports(t *testing.T) {
	q := observed(repeated(12, 40)...)
	if got := ShedRatio(q.Load(start.Add(time.Second/2), time.Second).Pressure); got != maxShedRatio {
		t.Errorf("share rejected after half a second is %.2f, want %.2f", got, maxShedRatio)
	}
	if got := ShedRatio(q.Load(start.Add(2*time.Second), time.Second).Pressure); got != 0 {
		t.Errorf("share rejected after two seconds without reports is %.2f, want 0", got)
	}
}

// A route whose work takes no time has no room for waiting requests that could be compared.
func TestUnknownRoomIsIgnored(t *testing.T) {
	var q capacity.Queue
	q.Observe(start, capacity.Report{Running: 2, Waiting: 12, Slots: 2})
	if got := q.Load(start, 0).Pressure; got != 0 {
		t.Errorf("pressure is %.2f, want 0", got)
	}
}

// A request of 430 ms has a target of 2 s, an urgent one a slack of 160 ms. Guards against long
// requests that fill the queue up to their own target, and against stopping them entirely.
func TestLessUrgentRequestsLeaveTheSlackOfUrgentOnes(t *testing.T) {
	const slack = 160 * time.Millisecond
	long := ShedRequest{
		Priority: 2, LowestPriority: 2, Target: 2 * time.Second, Work: 430 * time.Millisecond, UrgentSlack: slack, HasUrgent: true,
	}
	for _, c := range []struct {
		name     string
		s        Shedder
		wait     time.Duration
		free     bool
		min, max float64
	}{
		{"wait of half the slack", Shedder{ByPriority: true}, slack / 2, false, 0, 0},
		{"wait above half the slack", Shedder{ByPriority: true}, slack * 6 / 10, false, 0.3, 0.5},
		{"long wait", Shedder{ByPriority: true}, 2 * time.Second, false, 0.87, 0.93},
		{"long wait in the region but free slots", Shedder{ByPriority: true}, 2 * time.Second, true, 0, 0},
		{"switched off", Shedder{}, slack * 6 / 10, false, 0, 0},
	} {
		r := long
		r.FreeSlots = c.free
		region := capacity.Load{Wait: c.wait, WaitingPerSlot: 0.1, MeanWork: 300 * time.Millisecond}
		got, d := rejectedShare(c.s, region, capacity.Load{Age: -1}, r)
		if got < c.min || got > c.max {
			t.Errorf("%s: got %.2f rejected, want %.2f to %.2f", c.name, got, c.min, c.max)
		}
		if got > 0 && (d.Cause != ShedUrgentTarget || d.Limit != slack/2 || d.Wait != c.wait || d.MinRetryAfter != c.wait-slack/2 || d.MaxRetryAfter < d.MinRetryAfter) {
			t.Errorf("%s: got %+v, want the urgent target, its limit, the wait and a delay from the excess on", c.name, d)
		}
	}
}

// Guards against rejecting the most urgent requests because of a queue that is too long only for
// the mean of all routes, and against exempting them when their own responses would be late.
func TestMostUrgentRequestsAreShedOnTheirOwnSlack(t *testing.T) {
	urgent := ShedRequest{LowestPriority: 2, Target: time.Second, Work: 100 * time.Millisecond}
	l := capacity.Load{Pressure: 3, WaitingPerSlot: 1, MeanWork: 400 * time.Millisecond, Wait: 400 * time.Millisecond}
	if got, _ := rejectedShare(Shedder{ByPriority: true}, l, capacity.Load{Age: -1}, urgent); got > 0 {
		t.Errorf("a wait of 0.4 s with a slack of 0.9 s: got %.2f rejected, want none", got)
	}
	l.WaitingPerSlot, l.Wait = 4, 1600*time.Millisecond
	if got, d := rejectedShare(Shedder{ByPriority: true}, l, capacity.Load{Age: -1}, urgent); got < 0.3 || d.Cause != ShedOwnTarget {
		t.Errorf("a wait of 1.6 s with a slack of 0.9 s: got %.2f rejected, %+v, want at least 0.3 for their own target", got, d)
	}
}

// A server has just reported free slots. Guards against rejecting its requests because of the means
// of recent reports, which lag behind when a queue has drained.
func TestNothingIsShedWhileSlotsAreFree(t *testing.T) {
	r := ShedRequest{LowestPriority: 2, Target: time.Second, Work: 100 * time.Millisecond, FreeSlots: true, HasUrgent: true, UrgentSlack: 100 * time.Millisecond}
	l := capacity.Load{Pressure: 3, WaitingPerSlot: 12, MeanWork: 400 * time.Millisecond, Wait: 5 * time.Second}
	for r.Priority = range 3 {
		if got, d := rejectedShare(Shedder{ByPriority: true}, l, l, r); got > 0 {
			t.Errorf("priority %d: got %.2f rejected, %+v, want none", r.Priority, got, d)
		}
	}
}

// The queue of one server is short while those of the others are long. Guards against rejecting its
// requests because of the others, and against using the figures of a server that no longer reports.
func TestFreshLoadOfTheServerTakesPrecedence(t *testing.T) {
	r := ShedRequest{Target: time.Second, Work: 100 * time.Millisecond}
	region := capacity.Load{Pressure: 2}
	if got, _ := rejectedShare(Shedder{}, region, capacity.Load{Age: 100 * time.Millisecond}, r); got > 0 {
		t.Errorf("fresh report of an empty queue: got %.2f rejected, want none", got)
	}
	if got, _ := rejectedShare(Shedder{}, region, capacity.Load{Age: time.Second}, r); got < 0.5 {
		t.Errorf("old report of an empty queue: got %.2f rejected, want at least 0.5", got)
	}
}
