package admission

import (
	"time"
)

const (
	// bucketsPerWindow is the number of buckets in a window.
	bucketsPerWindow = 20
	// arrivalDelayBuckets is how many buckets later than it was charged a retry may arrive at its
	// server.
	arrivalDelayBuckets = 1
	// creditBuckets is the number of buckets whose credit the longest span of retries may use, which
	// is a window and the delay of the arrivals.
	creditBuckets = 2 * bucketsPerWindow
	// earnedShare is the part of Ratio that a request earns, and of Slack that is earned in a window.
	// Retries of a window use what was earned in it and in the window before, two halves of a budget.
	earnedShare = 0.5
	// maxHedgeShare is the part of the budget that hedges may use. The rest is left for retries of
	// failed attempts, without which requests are lost.
	maxHedgeShare = 0.25
)

type (
	// RetryBudget limits the retries to one service. The retries of all proxies together stay within
	// Ratio times the requests plus Slack in each window, where the requests of the window before count
	// if they are more.
	//
	// A proxy earns a credit for each request and for its share of Slack over time, and a retry uses
	// credit that is at most a window old. It starts without credit: nobody knows what an earlier
	// process sent before it ended, but that was paid for by requests that the earlier process counted.
	// So the bound holds whichever processes restart, and without any message between them.
	RetryBudget struct {
		Ratio  float64
		Slack  float64
		Window time.Duration

		buckets [creditBuckets]budgetBucket
		// bucket is the number of the current bucket since the epoch.
		bucket int64
		// slackUntil is until when slack has been added.
		slackUntil time.Time
	}

	// budgetBucket is what one proxy counted in a part of a window.
	budgetBucket struct {
		requests, retries int
		// hedges are the retries that were sent while the first attempt was in flight.
		hedges int
		// slackSeconds is this proxy's share of the slack, integrated over time.
		slackSeconds float64
	}

	// RetryUsage is the part of a budget that is the closest to being exhausted.
	RetryUsage struct {
		// Retries are the retries in some time up to now, Allowed how many the budget allows in it.
		Retries int
		Allowed float64
	}
)

// RecordRequest counts the first attempt of a request.
func (r *RetryBudget) RecordRequest(now time.Time) {
	r.advance(now)
	r.at(0).requests++
}

// AddSlack adds the slack that a proxy has earned since the previous call, by its share of Slack.
// Calls that are further apart than a bucket add less, and the first one adds nothing.
func (r *RetryBudget) AddSlack(now time.Time, share float64) {
	r.advance(now)
	if r.slackUntil.IsZero() {
		r.slackUntil = now
	}
	if !now.After(r.slackUntil) {
		return
	}
	length := r.bucketLength()
	from := r.slackUntil
	if now.Sub(from) > length {
		from = now.Add(-length)
	}
	bucketStart := time.Unix(0, r.bucket*int64(length))
	if from.Before(bucketStart) {
		r.at(1).slackSeconds += share * bucketStart.Sub(from).Seconds()
		from = bucketStart
	}
	r.at(0).slackSeconds += share * now.Sub(from).Seconds()
	r.slackUntil = now
}

// RequestRate returns the first attempts per second in the window. It is too low until a whole
// window has passed.
func (r *RetryBudget) RequestRate(now time.Time) float64 {
	r.advance(now)
	requests := 0
	for age := range bucketsPerWindow + 1 {
		requests += r.at(age).requests
	}
	return float64(requests) / r.Window.Seconds()
}

// TrySpend takes one retry from the budget, or returns false if the budget is exhausted.
func (r *RetryBudget) TrySpend(now time.Time) bool {
	if !r.Usage(now).HasRoom() {
		return false
	}
	r.at(0).retries++
	return true
}

// TrySpendHedge takes one hedge from the budget, or returns false if the hedges have used their
// part of it or the budget is exhausted.
func (r *RetryBudget) TrySpendHedge(now time.Time) bool {
	r.advance(now)
	hedges := RetryUsage{Allowed: maxHedgeShare * r.allowed(0, creditBuckets)}
	for age := range bucketsPerWindow + arrivalDelayBuckets + 1 {
		hedges.Retries += r.at(age).hedges
	}
	if !hedges.HasRoom() || !r.TrySpend(now) {
		return false
	}
	r.at(0).hedges++
	return true
}

// Refund gives back a retry that was taken at the given time and not sent.
func (r *RetryBudget) Refund(now, takenAt time.Time) {
	r.advance(now)
	age := r.bucket - takenAt.UnixNano()/int64(r.bucketLength())
	if age < 0 || age >= creditBuckets {
		return
	}
	b := r.at(int(age))
	b.retries = max(0, b.retries-1)
}

// Usage returns how much of the budget is in use. Retries that arrive within a window were sent in
// up to bucketsPerWindow+arrivalDelayBuckets+1 buckets, and they may only use credit earned since a
// window before the first of these arrivals. That must hold for the retries of each time up to now,
// since any of them may be the last ones of a process whose successor begins with credit of its own.
func (r *RetryBudget) Usage(now time.Time) RetryUsage {
	r.advance(now)
	const oldestCredit = bucketsPerWindow - arrivalDelayBuckets - 1
	credit := r.allowed(0, oldestCredit)
	retries := 0
	var tightest RetryUsage
	for age := range bucketsPerWindow + arrivalDelayBuckets + 1 {
		retries += r.at(age).retries
		credit += r.allowed(age+oldestCredit, 1)
		if usage := (RetryUsage{retries, credit}); age == 0 || usage.room() < tightest.room() {
			tightest = usage
		}
	}
	return tightest
}

// ForgetCredit drops the earned credit. It is called when the process was suspended, so that the age
// of its credit is not known.
func (r *RetryBudget) ForgetCredit() {
	for i := range r.buckets {
		r.buckets[i].requests, r.buckets[i].slackSeconds = 0, 0
	}
}

// allowed returns the retries for which the credit of a number of buckets suffices, beginning with
// the one of the given age in buckets.
func (r *RetryBudget) allowed(age, count int) float64 {
	requests, slackSeconds := 0, 0.0
	for i := range count {
		requests += r.at(age + i).requests
		slackSeconds += r.at(age + i).slackSeconds
	}
	return earnedShare * (r.Ratio*float64(requests) + r.Slack*slackSeconds/r.Window.Seconds())
}

func (u RetryUsage) room() float64 { return u.Allowed - float64(u.Retries) }

// HasRoom reports whether the budget allows another retry.
func (u RetryUsage) HasRoom() bool { return u.room() >= 1 }

// ArrivalDelay is how much later than it was charged a retry may arrive at its server.
func (r *RetryBudget) ArrivalDelay() time.Duration { return arrivalDelayBuckets * r.bucketLength() }

func (r *RetryBudget) bucketLength() time.Duration { return max(1, r.Window/bucketsPerWindow) }

// at returns the bucket of an age in buckets.
func (r *RetryBudget) at(age int) *budgetBucket {
	i := (r.bucket - int64(age)) % creditBuckets
	if i < 0 {
		i += creditBuckets
	}
	return &r.buckets[i]
}

func (r *RetryBudget) advance(now time.Time) {
	bucket := now.UnixNano() / int64(r.bucketLength())
	if bucket < r.bucket {
		// The clock went back. Counts are kept until it catches up.
		return
	}
	for i := 0; r.bucket < bucket && i < len(r.buckets); i++ {
		r.bucket++
		*r.at(0) = budgetBucket{}
	}
	r.bucket = bucket
}
