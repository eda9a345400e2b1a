package admission

import (
	"time"
)

const (
	// bucketCount divide the budget's window; the oldest is dropped whole, so the
	// count never misses a repeat that the window still holds.
	bucketCount = 10
	// budgetUtilization is the part of the budget in use. The rest covers requests
	// that count in another proxy's window and proxies that just joined.
	budgetUtilization = 0.8
)

type (
	// RetryBudget is one service's budget of repeated requests: a share of the
	// requests in a sliding window, and this proxy's part of a fixed slack.
	RetryBudget struct {
		Ratio  float64
		Slack  float64
		Window time.Duration

		requests [bucketCount + 1]int
		retries  [bucketCount + 1]int
		bucket   int64
	}
)

// RecordRequest counts a request's first send.
func (r *RetryBudget) RecordRequest(now time.Time) {
	r.advance(now)
	r.requests[r.bucketIndex()]++
}

// RequestRate is how many requests a second were sent first in the window; it is too low until a
// window has passed.
func (r *RetryBudget) RequestRate(now time.Time) float64 {
	r.advance(now)
	requests := 0
	for _, n := range r.requests {
		requests += n
	}
	return float64(requests) / r.Window.Seconds()
}

// TrySpend takes one repeat, or reports false. proxies is how many share the
// slack.
func (r *RetryBudget) TrySpend(now time.Time, proxies int) bool {
	r.advance(now)
	requests, retries := 0, 0
	for i := range r.requests {
		requests += r.requests[i]
		retries += r.retries[i]
	}
	allowed := budgetUtilization * (r.Ratio*float64(requests) + r.Slack/float64(max(1, proxies)))
	if float64(retries+1) > allowed {
		return false
	}
	r.retries[r.bucketIndex()]++
	return true
}

func (r *RetryBudget) bucketIndex() int { return int(r.bucket % int64(len(r.requests))) }

func (r *RetryBudget) advance(now time.Time) {
	bucket := now.UnixNano() / max(1, int64(r.Window)/bucketCount)
	if bucket < r.bucket {
		// The clock went back; what is counted stands until it catches up.
		return
	}
	for i := 0; r.bucket < bucket && i < len(r.requests); i++ {
		r.bucket++
		r.requests[r.bucketIndex()], r.retries[r.bucketIndex()] = 0, 0
	}
	r.bucket = bucket
}
