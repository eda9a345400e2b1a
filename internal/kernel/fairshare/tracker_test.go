package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

var start = time.Unix(1_000_000, 0)

// offerOf returns what an account offers without a request that arrives now.
func (t *Tracker) offerOf(account string) Offer {
	return Offer{load: t.load(xxhash.Sum64String(account)), weight: 1}
}

// An account that asks for less than its share must get all of it, what it leaves must go to the
// others, and the others must get the same.
func TestSharesAreMaxMinFair(t *testing.T) {
	demand := map[string]int{"none": 0, "small": 5, "fair": 40, "large": 300, "huge": 900}
	for _, c := range []struct {
		capacity float64
		want     map[string]float64
	}{
		{1245, map[string]float64{"small": 5, "fair": 40, "large": 300, "huge": 900}},
		{1000, map[string]float64{"small": 5, "fair": 40, "large": 300, "huge": 655}},
		{445, map[string]float64{"small": 5, "fair": 40, "large": 200, "huge": 200}},
		{95, map[string]float64{"small": 5, "fair": 30, "large": 30, "huge": 30}},
		{8, map[string]float64{"small": 2, "fair": 2, "large": 2, "huge": 2}},
	} {
		var tracker Tracker
		for account, n := range demand {
			for range n {
				tracker.RecordArrival(start, Arrival{Account: account, Work: 100 * time.Millisecond})
			}
		}
		for account, want := range c.want {
			got := float64(demand[account]) * (1 - tracker.ShedRatio(tracker.offerOf(account), 1-c.capacity/1245))
			if math.Abs(got-want) > 0.05*want {
				t.Errorf("capacity %v: %s gets %.1f, want %.1f", c.capacity, account, got, want)
			}
		}
	}
}

// One account of 72 sends 7.5 times as much as usual while the service gets 1.3 times what it can
// handle. Guards against others losing requests to it, at a proxy that sees most requests and at
// one of many that see a few of them.
func TestExcessOfOneAccountIsItsOwn(t *testing.T) {
	const accounts, excess, contention = 72, 7.5, 1.3
	for _, perSecond := range []float64{700, 40} {
		// run returns the admitted share of the other accounts and the admitted requests of all.
		run := func(factor float64, fair bool) (share float64, admitted [accounts]float64) {
			random := rand.New(rand.NewPCG(1, 2))
			var tracker Tracker
			units := accounts - 1 + factor
			overall := max(0, 1-(accounts-1+excess)/contention/units)
			sent, ok := 0.0, 0.0
			now := start
			for now.Before(start.Add(time.Duration(400_000 / perSecond * float64(time.Second)))) {
				now = now.Add(time.Duration(random.ExpFloat64() / perSecond * accounts / units * float64(time.Second)))
				i := 0
				if random.Float64()*units >= factor {
					i = 1 + random.IntN(accounts-1)
				}
				a := Arrival{Account: fmt.Sprint(i), Work: time.Duration(50+random.IntN(100)) * time.Millisecond}
				offer := tracker.RecordArrival(now, a)
				ratio := overall
				if fair {
					ratio = tracker.ShedRatio(offer, overall)
				}
				accepted := random.Float64() >= ratio
				if accepted {
					admitted[i]++
				}
				if i > 0 {
					sent++
					if accepted {
						ok++
					}
				}
			}
			return ok / sent, admitted
		}
		without, _ := run(1, true)
		with, admitted := run(excess, true)
		unfair, _ := run(excess, false)
		sum, squares := 0.0, 0.0
		for _, n := range admitted {
			sum, squares = sum+n, squares+n*n
		}
		jain := sum * sum / (accounts * squares)
		t.Logf("%.0f requests per second: the others get %.3f, %.3f without the excess, %.3f without fair shares; Jain's index %.3f", perSecond, with, without, unfair, jain)
		if with < without-0.02 {
			t.Errorf("%.0f requests per second: the others get %.3f of their requests, want at most 0.02 less than the %.3f without the excess", perSecond, with, without)
		}
		if jain < 0.95 {
			t.Errorf("%.0f requests per second: Jain's index of the admitted requests is %.3f, want at least 0.95", perSecond, jain)
		}
	}
}

// After a restart, the first account that sends twice must not be taken for an excessive one.
func TestFewRequestsAreTreatedAlike(t *testing.T) {
	var tracker Tracker
	a, b := Arrival{Account: "a", Work: time.Second}, Arrival{Account: "b", Work: time.Millisecond}
	for range minRequests - 1 {
		if got := tracker.ShedRatio(tracker.RecordArrival(start, a), 0.3); got != 0.3 {
			t.Errorf("with few requests: got a ratio of %v, want 0.3", got)
		}
	}
	first, second := tracker.ShedRatio(tracker.RecordArrival(start, a), 0.3), tracker.ShedRatio(tracker.RecordArrival(start, b), 0.3)
	if first < 0.25 || second != 0 {
		t.Errorf("with enough requests: got ratios of %v and %v, want about 0.3 and 0", first, second)
	}
	if got := tracker.ShedRatio(tracker.RecordArrival(start, a), 0); got != 0 {
		t.Errorf("without shedding: got a ratio of %v, want 0", got)
	}
	if got := tracker.ShedRatio(tracker.RecordArrival(start.Add(time.Minute), b), 0.3); got != 0.3 {
		t.Errorf("a minute later: got a ratio of %v, want 0.3", got)
	}
}

// Callers repeat rejected requests after the delay that they are told. Counted each time, the
// accounts that were rejected would look as if they asked for more, and be rejected even more. But
// an account that sends one request again and again at once asks for more.
func TestRepeatedRequestsAreCountedOnce(t *testing.T) {
	load := func(gap, retryAfter time.Duration) float64 {
		var tracker Tracker
		a := Arrival{Account: "a", Request: 7, Work: time.Second}
		now := start
		for range 10 {
			tracker.RecordRejection(now, tracker.RecordArrival(now, a), retryAfter)
			now = now.Add(gap)
		}
		return tracker.requests
	}
	if got := load(time.Millisecond, time.Millisecond); got != 1 {
		t.Errorf("repeated after the delay: counted %.2f requests, want 1", got)
	}
	if got := load(time.Millisecond, time.Second); got < 9.9 {
		t.Errorf("repeated at once: counted %.2f requests, want 10", got)
	}
}

// Tens of thousands of accounts must not exceed the memory of a small VM, nor hide the few that
// cause the overload.
func TestManyAccountsAreBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	var tracker Tracker
	now := start
	for range 400_000 {
		now = now.Add(50 * time.Microsecond)
		a := Arrival{Account: fmt.Sprint(random.IntN(30_000)), Request: random.Uint64(), Work: 100 * time.Millisecond}
		if random.IntN(4) == 0 {
			a.Account = fmt.Sprintf("heavy-%d", random.IntN(5))
		}
		tracker.RecordRejection(now, tracker.RecordArrival(now, a), time.Second)
	}
	used := int64(heap()) - int64(before)
	t.Logf("the tracker uses %d bytes", used)
	if used > 1<<20 {
		t.Errorf("the tracker uses %d bytes, want at most 1 MB", used)
	}
	if len(tracker.accounts) > maxAccounts {
		t.Errorf("%d accounts are tracked, want at most %d", len(tracker.accounts), maxAccounts)
	}
	for i := range 5 {
		// A fifth of a quarter of 0.1 s x 20,000 requests per second is 100 s per second.
		if got := tracker.Excess(now, fmt.Sprintf("heavy-%d", i), 1700); math.Abs(got-0.6) > 0.06 {
			t.Errorf("heavy-%d exceeds its share by %.2f, want 0.6", i, got)
		}
	}
	shed := 0
	for i := range 1000 {
		if tracker.ShedRatio(tracker.RecordArrival(now, Arrival{Account: fmt.Sprint(i)}), 0.15) > 0 {
			shed++
		}
	}
	if shed > 0 {
		t.Errorf("%d of 1000 small accounts are shed while 5 cause the excess, want none", shed)
	}
}

// Recorded calls are replayed to explain decisions. Guards against ratios that depend on the random
// order of a map, where accounts are evicted and where loads are scaled down.
func TestSameCallsGiveSameRatios(t *testing.T) {
	run := func() (ratios []float64) {
		random := rand.New(rand.NewPCG(1, 2))
		var tracker Tracker
		now := start
		for range 100_000 {
			now = now.Add(time.Millisecond)
			a := Arrival{Account: fmt.Sprint(random.IntN(30_000)), Work: time.Duration(random.ExpFloat64() * float64(time.Second))}
			ratios = append(ratios, tracker.ShedRatio(tracker.RecordArrival(now, a), 0.3))
		}
		return ratios
	}
	first, second := run(), run()
	for i := range first {
		if first[i] != second[i] {
			t.Fatalf("request %d: got a ratio of %v, and %v when repeated", i, first[i], second[i])
		}
	}
}

// BenchmarkRequest measures what one request costs during overload: its arrival, the question
// whether to shed it, and its rejection.
func BenchmarkRequest(b *testing.B) {
	for _, accounts := range []int{72, maxAccounts, 5 * maxAccounts} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 2))
			arrivals := make([]Arrival, 4*accounts)
			for i := range arrivals {
				arrivals[i] = Arrival{Account: fmt.Sprintf("account-%d", random.IntN(accounts)), Request: random.Uint64(), Work: 100 * time.Millisecond}
			}
			var tracker Tracker
			now, n := start, 0
			b.ReportAllocs()
			for b.Loop() {
				now, n = now.Add(100*time.Microsecond), n+1
				offer := tracker.RecordArrival(now, arrivals[n%len(arrivals)])
				if ratio := tracker.ShedRatio(offer, 0.3); ratio > 0 && n%3 == 0 {
					tracker.RecordRejection(now, offer, time.Second)
				}
			}
		})
	}
}
