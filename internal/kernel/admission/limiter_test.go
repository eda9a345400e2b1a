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

// A server slows down when more than two of its slots are in use, so only two of several requests
// may run. Of the others, those that can still meet their target follow by priority and order of
// arrival, and those that are late in any case come last.
func TestLimiterQueuesInPriorityOrder(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var limiter Limiter
	for id, want := range map[uint64]Verdict{1: Granted, 2: Granted} {
		if got := limiter.Acquire(now, ticket(id, 1, time.Second, 2*time.Second), 2, 100*time.Millisecond).Verdict; got != want {
			t.Errorf("ticket %d: verdict %d, want %d", id, got, want)
		}
	}
	for _, queued := range []Ticket{
		ticket(3, 0, -time.Second, 2*time.Second), ticket(4, 2, time.Second, 2*time.Second), ticket(5, 1, time.Second, 2*time.Second), ticket(6, 1, time.Second, 2*time.Second),
	} {
		if got := limiter.Acquire(now, queued, 2, 100*time.Millisecond).Verdict; got != Queued {
			t.Errorf("ticket %d: verdict %d, want it queued", queued.ID, got)
		}
	}
	var order []uint64
	for _, done := range []uint64{1, 2, 5, 6} {
		limiter.Release("proxy", done)
		order = append(order, idsOf(limiter.Dispatch(now, 2), Granted)...)
	}
	if want := []uint64{5, 6, 4, 3}; !slices.Equal(order, want) {
		t.Errorf("slots are granted to %v, want %v", order, want)
	}
	if running, waiting := limiter.Load(); running != 2 || waiting != 0 {
		t.Errorf("%d run and %d wait, want two and none", running, waiting)
	}
}

// A request is denied on arrival if its slot would come too late for any response, or as soon as
// it has waited too long, so that its caller learns at once when to retry.
func TestLimiterDeniesRequestsPastDeadline(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var limiter Limiter
	limiter.Acquire(now, ticket(1, 0, time.Second, time.Second), 1, 300*time.Millisecond)
	if got := limiter.Acquire(now, ticket(2, 0, 0, 200*time.Millisecond), 1, 300*time.Millisecond).Verdict; got != Denied {
		t.Errorf("a wait of 300 ms with 200 left: verdict %d, want it denied", got)
	}
	if got := limiter.Acquire(now, ticket(3, 0, 0, 400*time.Millisecond), 1, 300*time.Millisecond).Verdict; got != Queued {
		t.Errorf("a wait of 300 ms with 400 left: verdict %d, want it queued", got)
	}
	if got := idsOf(limiter.Dispatch(now.Add(500*time.Millisecond), 1), Denied); !slices.Equal(got, []uint64{3}) {
		t.Errorf("denied after its deadline: %v, want ticket 3", got)
	}
}

// Guards against a slot that is lost when its proxy is killed: it expires when its request must
// have ended, or the server would stay idle.
func TestSlotsExpire(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var limiter Limiter
	first := ticket(1, 0, time.Second, time.Minute)
	first.Until = now.Add(2 * time.Second)
	limiter.Acquire(now, first, 1, time.Millisecond)
	limiter.Acquire(now, ticket(2, 0, time.Second, time.Minute), 1, time.Millisecond)
	if got := limiter.Dispatch(now.Add(time.Second), 1); len(got) > 0 {
		t.Errorf("granted while the slot is held: %v", got)
	}
	if got := idsOf(limiter.Dispatch(now.Add(3*time.Second), 1), Granted); !slices.Equal(got, []uint64{2}) {
		t.Errorf("granted after the slot has expired: %v, want ticket 2", got)
	}
}

// Guards against a second slot for one request when a response or grant is lost and the proxy
// requests a slot again.
func TestAcquireIsIdempotent(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var limiter Limiter
	for range 3 {
		if got := limiter.Acquire(now, ticket(1, 0, time.Second, time.Second), 2, time.Millisecond); got.Verdict != Granted || got.Rank != 1 {
			t.Errorf("retried request: %+v, want the same slot", got)
		}
	}
	limiter.Acquire(now, ticket(2, 0, time.Second, time.Second), 2, time.Millisecond)
	for range 3 {
		limiter.Acquire(now, ticket(3, 0, time.Second, time.Second), 2, time.Millisecond)
	}
	if running, waiting := limiter.Load(); running != 2 || waiting != 1 {
		t.Errorf("%d run and %d wait, want two and one", running, waiting)
	}
}
