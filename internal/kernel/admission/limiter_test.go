package admission

import (
	"slices"
	"testing"
	"time"
)

func ticket(id uint64, priority int, good, last time.Duration) Ticket {
	start := time.Unix(1_000_000, 0)
	return Ticket{ID: id, From: "proxy", Priority: priority, Good: start.Add(good), Last: start.Add(last), Until: start.Add(time.Minute)}
}

func idsOf(grants []Grant, v Verdict) (ids []uint64) {
	for _, g := range grants {
		if g.Verdict == v {
			ids = append(ids, g.ID)
		}
	}
	return ids
}

// A server slows down when more than two of its slots are used, and five requests
// come at once. Two run; of the others those that can still be answered in time go
// first, the most urgent before the rest, and those that are late in any case last.
func TestLimiterQueuesInPriorityOrder(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var g Limiter
	for id, want := range map[uint64]Verdict{1: Granted, 2: Granted} {
		if got := g.Acquire(now, ticket(id, 1, time.Second, 2*time.Second), 2, 100*time.Millisecond).Verdict; got != want {
			t.Errorf("ticket %d: verdict %d, want %d", id, got, want)
		}
	}
	for _, w := range []Ticket{
		ticket(3, 0, -time.Second, 2*time.Second), ticket(4, 2, time.Second, 2*time.Second), ticket(5, 1, time.Second, 2*time.Second), ticket(6, 1, time.Second, 2*time.Second),
	} {
		if got := g.Acquire(now, w, 2, 100*time.Millisecond).Verdict; got != Queued {
			t.Errorf("ticket %d: verdict %d, want it queued", w.ID, got)
		}
	}
	var order []uint64
	for _, done := range []uint64{1, 2, 5, 6} {
		g.Release("proxy", done)
		order = append(order, idsOf(g.Dispatch(now, 2), Granted)...)
	}
	if want := []uint64{5, 6, 4, 3}; !slices.Equal(order, want) {
		t.Errorf("places go to %v, want %v", order, want)
	}
	if running, waiting := g.Load(); running != 2 || waiting != 0 {
		t.Errorf("%d run and %d wait, want two and none", running, waiting)
	}
}

// A request whose place would come too late for any answer is denied when it asks,
// and one that has waited too long as soon as that is so: its caller learns at once
// when to come back.
func TestLimiterDeniesRequestsPastDeadline(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var g Limiter
	g.Acquire(now, ticket(1, 0, time.Second, time.Second), 1, 300*time.Millisecond)
	if got := g.Acquire(now, ticket(2, 0, 0, 200*time.Millisecond), 1, 300*time.Millisecond).Verdict; got != Denied {
		t.Errorf("a wait of 300 ms with 200 left: verdict %d, want it denied", got)
	}
	if got := g.Acquire(now, ticket(3, 0, 0, 400*time.Millisecond), 1, 300*time.Millisecond).Verdict; got != Queued {
		t.Errorf("a wait of 300 ms with 400 left: verdict %d, want it queued", got)
	}
	if got := idsOf(g.Dispatch(now.Add(500*time.Millisecond), 1), Denied); !slices.Equal(got, []uint64{3}) {
		t.Errorf("denied after its time: %v, want ticket 3", got)
	}
}

// A proxy that has a place is killed and gives nothing back. The place is free again
// when its request must have ended, or the server would stand empty for good.
func TestPermitsExpire(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var g Limiter
	first := ticket(1, 0, time.Second, time.Minute)
	first.Until = now.Add(2 * time.Second)
	g.Acquire(now, first, 1, time.Millisecond)
	g.Acquire(now, ticket(2, 0, time.Second, time.Minute), 1, time.Millisecond)
	if got := g.Dispatch(now.Add(time.Second), 1); len(got) > 0 {
		t.Errorf("granted while the place is taken: %v", got)
	}
	if got := idsOf(g.Dispatch(now.Add(3*time.Second), 1), Granted); !slices.Equal(got, []uint64{2}) {
		t.Errorf("granted after the place has run out: %v, want ticket 2", got)
	}
}

// The answer to a question, or a grant, is lost, and the proxy asks again. It must
// not take a second place.
func TestAcquireIsIdempotent(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var g Limiter
	for range 3 {
		if got := g.Acquire(now, ticket(1, 0, time.Second, time.Second), 2, time.Millisecond); got.Verdict != Granted || got.Rank != 1 {
			t.Errorf("asked again: %+v, want the same place", got)
		}
	}
	g.Acquire(now, ticket(2, 0, time.Second, time.Second), 2, time.Millisecond)
	for range 3 {
		g.Acquire(now, ticket(3, 0, time.Second, time.Second), 2, time.Millisecond)
	}
	if running, waiting := g.Load(); running != 2 || waiting != 1 {
		t.Errorf("%d run and %d wait, want two and one", running, waiting)
	}
}
