package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

var (
	start = time.Unix(1_000_000, 0)
)

// Servers fail half of their requests. If each of ten proxies repeated within
// a budget of its own, the service would see ten budgets of repeats on top of
// what already overloads it.
func TestRetriesOfAllProxiesStayWithinBudget(t *testing.T) {
	const (
		proxies = 10
		ratio   = 0.2
		slack   = 60.0
		window  = 10 * time.Second
	)
	budgets := make([]RetryBudget, proxies)
	for i := range budgets {
		budgets[i] = RetryBudget{Ratio: ratio, Slack: slack, Window: window}
	}
	r := rand.New(rand.NewPCG(1, 1))
	var requests, retries []time.Time
	for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(10 * time.Millisecond) {
		b := &budgets[r.IntN(proxies)]
		b.RecordRequest(now)
		requests = append(requests, now)
		if r.IntN(2) == 0 && b.TrySpend(now, proxies) {
			retries = append(retries, now)
		}
	}
	count := func(list []time.Time, from time.Time) (n float64) {
		for _, at := range list {
			if !at.Before(from) && at.Before(from.Add(window)) {
				n++
			}
		}
		return n
	}
	for from := start; from.Before(start.Add(30 * time.Second)); from = from.Add(time.Second) {
		got, limit := count(retries, from), ratio*count(requests, from)+slack
		if got > limit {
			t.Errorf("%.0f repeats in the window from %s, want at most %.0f", got, from.Sub(start), limit)
		}
	}
	if len(retries) == 0 {
		t.Error("no repeat was allowed at all")
	}
}

// The clock of a suspended VM goes back. Repeats already counted must not be
// forgotten, or the budget could be spent twice.
func TestRetryBudgetSurvivesClockGoingBack(t *testing.T) {
	b := RetryBudget{Slack: 10, Window: 10 * time.Second}
	n := 0
	for b.TrySpend(start, 1) {
		n++
	}
	if b.TrySpend(start.Add(-5*time.Second), 1) {
		t.Errorf("a repeat was allowed after the clock went back though %d were spent", n)
	}
	if !b.TrySpend(start.Add(11*time.Second), 1) {
		t.Error("no repeat is allowed after the window has passed")
	}
}

// A server has just started and crashes if it gets much more than it bears.
// All proxies learn of it at the same moment and each has callers waiting.
func TestColdStartRateHoldsOverAllProxies(t *testing.T) {
	rate := ColdStartRate{PerSecond: 3.1, Factor: 1.5, Slack: 5}
	for _, proxies := range []int{1, 2, 3, 7, 10, 66, 300} {
		limiters := make([]ColdStartLimiter, proxies)
		var sent []time.Time
		for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(5 * time.Millisecond) {
			for i := range limiters {
				if limiters[i].HasRoom(now, rate.Share(i, proxies)) {
					limiters[i].Record(now)
					sent = append(sent, now)
				}
			}
		}
		for i := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(sent[i]) < time.Second {
					n++
				}
			}
			if most := rate.PerSecond*rate.Factor + rate.Slack; float64(n) > most {
				t.Fatalf("%d proxies sent %d within a second, want at most %.1f", proxies, n, most)
			}
		}
		if len(sent) == 0 {
			t.Errorf("%d proxies sent nothing, so the server never warms", proxies)
		}
	}
}

func TestColdStartShareOfUnlistedProxyIsZero(t *testing.T) {
	if got := (ColdStartRate{PerSecond: 10, Factor: 1}).Share(-1, 3); got != 0 {
		t.Errorf("a proxy that is not listed may send %d, want 0", got)
	}
	if got := (ColdStartRate{PerSecond: 10, Factor: 1}).Share(3, 3); got != 0 {
		t.Errorf("a rank beyond the list may send %d, want 0", got)
	}
}
