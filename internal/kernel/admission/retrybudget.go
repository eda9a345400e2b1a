package admission

import (
	"time"
)

const (
	// bucketCount is the number of buckets in a window. The oldest bucket is dropped as a whole
	// once it is outside the window, so the count never misses a retry within the window.
	bucketCount = 10
	// budgetUtilization is the part of the budget that is used. The rest is a margin for requests
	// that fall into another proxy's window and for proxies that have just joined.
	budgetUtilization = 0.8
	// maxHedgeShare is the part of the budget that hedges may use. The rest is left for retries of
	// failed attempts, without which requests are lost.
	maxHedgeShare = 0.25
)

type (
	// RetryBudget limits the retries to one service: to Ratio times the requests in a sliding
	// window, plus this proxy's part of Slack.
	RetryBudget struct {
		Ratio  float64
		Slack  float64
		Window time.Duration

		requests [bucketCount + 1]int
		retries  [bucketCount + 1]int
		// hedges are the retries that were sent while the first attempt was in flight.
		hedges [bucketCount + 1]int
		bucket int64
	}
)

// RecordRequest counts the first attempt of a request.
func (r *RetryBudget) RecordRequest(now time.Time) {
	r.advance(now)
	r.requests[r.bucketIndex()]++
}

// RequestRate returns the first attempts per second in the window. It is too low until a whole
// window has passed.
func (r *RetryBudget) RequestRate(now time.Time) float64 {
	r.advance(now)
	requests := 0
	for _, n := range r.requests {
		requests += n
	}
	return float64(requests) / r.Window.Seconds()
}

// TrySpend takes one retry from the budget, or returns false if the budget is exhausted. proxies is
// the number of proxies that share Slack.
func (r *RetryBudget) TrySpend(now time.Time, proxies int) bool {
	return r.trySpend(now, proxies, false)
}

// TrySpendHedge takes one hedge from the budget, or returns false if the hedges have used their
// part of it or the budget is exhausted.
func (r *RetryBudget) TrySpendHedge(now time.Time, proxies int) bool {
	return r.trySpend(now, proxies, true)
}

// Usage returns the number of retries in the window and how many the budget allows.
func (r *RetryBudget) Usage(now time.Time, proxies int) (retries int, allowed float64) {
	r.advance(now)
	requests := 0
	for i := range r.requests {
		requests += r.requests[i]
		retries += r.retries[i]
	}
	return retries, budgetUtilization * (r.Ratio*float64(requests) + r.Slack/float64(max(1, proxies)))
}

func (r *RetryBudget) trySpend(now time.Time, proxies int, isHedge bool) bool {
	retries, allowed := r.Usage(now, proxies)
	hedges := 0
	for _, n := range r.hedges {
		hedges += n
	}
	if float64(retries+1) > allowed || isHedge && float64(hedges+1) > maxHedgeShare*allowed {
		return false
	}
	r.retries[r.bucketIndex()]++
	if isHedge {
		r.hedges[r.bucketIndex()]++
	}
	return true
}

func (r *RetryBudget) bucketIndex() int { return int(r.bucket % int64(len(r.requests))) }

func (r *RetryBudget) advance(now time.Time) {
	bucket := now.UnixNano() / max(1, int64(r.Window)/bucketCount)
	if bucket < r.bucket {
		// The clock went back. Counts are kept until it catches up.
		return
	}
	for i := 0; r.bucket < bucket && i < len(r.requests); i++ {
		r.bucket++
		r.requests[r.bucketIndex()], r.retries[r.bucketIndex()], r.hedges[r.bucketIndex()] = 0, 0, 0
	}
	r.bucket = bucket
}
