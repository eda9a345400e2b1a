package admission

import (
	"time"
)

const (
	// buckets divide the budget's window; the oldest is dropped whole, so the
	// count never misses a repeat that the window still holds.
	buckets = 10
	// repeatShare is the part of the budget in use. The rest covers requests
	// that count in another proxy's window and proxies that just joined.
	repeatShare = 0.8
)

type (
	// RetryBudget is one service's budget of repeated requests: a share of the
	// requests in a sliding window, and this proxy's part of a fixed slack.
	RetryBudget struct {
		Ratio  float64
		Slack  float64
		Window time.Duration

		firsts  [buckets + 1]int
		repeats [buckets + 1]int
		slot    int64
	}
)

// RecordRequest counts a request's first send.
func (r *RetryBudget) RecordRequest(now time.Time) {
	r.advance(now)
	r.firsts[r.index()]++
}

// RequestRate is how many requests a second were sent first in the window; it is too low until a
// window has passed.
func (r *RetryBudget) RequestRate(now time.Time) float64 {
	r.advance(now)
	firsts := 0
	for _, n := range r.firsts {
		firsts += n
	}
	return float64(firsts) / r.Window.Seconds()
}

// TrySpend takes one repeat, or reports false. proxies is how many share the
// slack.
func (r *RetryBudget) TrySpend(now time.Time, proxies int) bool {
	r.advance(now)
	firsts, repeats := 0, 0
	for i := range r.firsts {
		firsts += r.firsts[i]
		repeats += r.repeats[i]
	}
	allowed := repeatShare * (r.Ratio*float64(firsts) + r.Slack/float64(max(1, proxies)))
	if float64(repeats+1) > allowed {
		return false
	}
	r.repeats[r.index()]++
	return true
}

func (r *RetryBudget) index() int { return int(r.slot % int64(len(r.firsts))) }

func (r *RetryBudget) advance(now time.Time) {
	slot := now.UnixNano() / max(1, int64(r.Window)/buckets)
	if slot < r.slot {
		// The clock went back; what is counted stands until it catches up.
		return
	}
	for i := 0; r.slot < slot && i < len(r.firsts); i++ {
		r.slot++
		r.firsts[r.index()], r.repeats[r.index()] = 0, 0
	}
	r.slot = slot
}
