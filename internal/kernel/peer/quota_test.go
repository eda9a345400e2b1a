package peer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testDeadline = 2 * time.Second

type (
	// delayedMessage is a message in flight between lender and borrower.
	delayedMessage struct {
		deliverAt time.Time
		deliver   func()
	}
)

// TestLoansNeverExceedCapacity lets two proxies lend and borrow quota of a resource with delayed
// and lost messages and rejected renewals. Within any second, both together must not admit more
// than the capacity.
func TestLoansNeverExceedCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 40
		now := time.Unix(1_000_000, 0)
		quotas := [2]*Quota{{}, {}}
		for _, q := range quotas {
			q.SetMaxDeadline(testDeadline)
			q.SetBase(capacity/2, true, now)
		}
		var all SlidingWindow
		var inFlight []delayedMessage
		send := func(f func()) {
			if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
				return
			}
			delay := time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay")) * time.Millisecond
			inFlight = append(inFlight, delayedMessage{now.Add(delay), f})
		}
		for range rapid.IntRange(10, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "step")) * time.Millisecond)
			var rest []delayedMessage
			due := inFlight
			inFlight = nil
			for _, p := range due {
				if p.deliverAt.After(now) {
					rest = append(rest, p)
				} else {
					p.deliver()
				}
			}
			inFlight = append(inFlight, rest...)
			who := rapid.IntRange(0, 1).Draw(t, "who")
			own, other := quotas[who], quotas[1-who]
			name, otherName := "01"[who:who+1], "01"[1-who:2-who]
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				if own.TryAcquire(now) && !all.Admit(now, capacity) {
					t.Fatalf("got more than %d admissions within one second", capacity)
				}
			}
			own.UpdateDemand(now)
			requestedAt := now
			for _, r := range own.TakeRenewals(now) {
				send(func() {
					kept := other.Renew(name, r.ID, r.Keep, now)
					send(func() { own.HandleRenewalReply(otherName, r.ID, kept, requestedAt) })
				})
			}
			if rapid.Bool().Draw(t, "borrow") {
				send(func() {
					id, amount := other.Lend(name, 10, now)
					send(func() { own.AddBorrowed(otherName, id, amount, requestedAt, now) })
				})
			}
		}
	})
}

// TestWindowIsSliding checks that a burst at the end of one second and another at the start of the
// next are not both admitted, as they would be by a counter that is reset every second.
func TestWindowIsSliding(t *testing.T) {
	var w SlidingWindow
	now := time.Unix(100, 0)
	for i := range 10 {
		if got, want := w.Admit(now.Add(900*time.Millisecond), 10), true; got != want {
			t.Fatalf("admission %d: got %v, want %v", i+1, got, want)
		}
	}
	if got, want := w.Admit(now.Add(1100*time.Millisecond), 10), false; got != want {
		t.Errorf("200 ms after a full window: got %v, want %v", got, want)
	}
	if got, want := w.Admit(now.Add(1900*time.Millisecond), 10), true; got != want {
		t.Errorf("one second after a full window: got %v, want %v", got, want)
	}
}
