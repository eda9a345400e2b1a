package simnet

import (
	"math/rand/v2"
	"sort"
	"time"
)

type (
	// IdealResult is what a scheduler reaches that sees every slot and every
	// request at once, and whose decisions cost nothing. No real system can:
	// it serves as the bound for comparisons.
	IdealResult struct {
		Latencies []time.Duration
		Rejected  int
	}

	slotPool struct {
		freeAt Heap[time.Time]
	}
)

// RunIdealScheduler plays the same arrivals and service times for a span after the
// warm-up, over one queue for each service and region.
func RunIdealScheduler(c Config, span time.Duration) *IdealResult {
	r := rand.New(rand.NewPCG(c.Seed, 1))
	result := &IdealResult{}
	start := time.Unix(0, 0)
	pools := newSlotPools(c, start)
	end := start.Add(c.WarmUp + span)
	nextArrival := make([]time.Time, len(c.Load))
	for i := range nextArrival {
		nextArrival[i] = start
	}
	for {
		homeRegion := 0
		for i := range nextArrival {
			if nextArrival[i].Before(nextArrival[homeRegion]) {
				homeRegion = i
			}
		}
		now := nextArrival[homeRegion]
		if now.After(end) {
			return result
		}
		nextArrival[homeRegion] = now.Add(time.Duration(r.ExpFloat64() / c.Load[homeRegion] * float64(time.Second)))
		service := r.IntN(len(c.Bundle.Services))
		latency, ok := scheduleIdeally(c, pools[service], homeRegion, now, randomizeSpan(r, c.ServiceTime), c.Bundle.Services[service].Deadline.Std())
		switch {
		case now.Before(start.Add(c.WarmUp)):
		case ok:
			result.Latencies = append(result.Latencies, latency)
		default:
			result.Rejected++
		}
	}
}

func newSlotPools(c Config, start time.Time) [][]*slotPool {
	var pools [][]*slotPool
	for i := range c.Bundle.Services {
		var byRegion []*slotPool
		for _, region := range c.Bundle.Regions {
			pool := &slotPool{}
			pool.freeAt.less = func(a, b *time.Time) bool { return a.Before(*b) }
			for _, s := range c.Bundle.Services[i].Servers {
				if s.Region != region.Name {
					continue
				}
				for range s.Slots {
					pool.freeAt.Push(start)
				}
			}
			byRegion = append(byRegion, pool)
		}
		pools = append(pools, byRegion)
	}
	return pools
}

// scheduleIdeally sends a request where it begins soonest, as far as the mean time
// on the way counts. How long it will run is not known beforehand, or the bound
// would gain throughput by turning long requests away.
func scheduleIdeally(c Config, pools []*slotPool, homeRegion int, now time.Time, serviceTime, deadline time.Duration) (time.Duration, bool) {
	best := -1
	var bestBegin, bestExpected time.Time
	var bestReturn time.Duration
	for i, p := range pools {
		oneWay := c.Net.Client + (c.Net.SameDomain+c.Net.SameRegion)/2
		if i != homeRegion {
			oneWay = c.Net.Client + c.Net.BetweenRegions
		}
		begin := now.Add(oneWay)
		if free := p.freeAt.items[0]; free.After(begin) {
			begin = free
		}
		expected := begin.Add(c.ServiceTime + oneWay)
		if best < 0 || expected.Before(bestExpected) {
			best, bestBegin, bestExpected, bestReturn = i, begin, expected, oneWay
		}
	}
	if bestExpected.Sub(now) > deadline {
		return 0, false
	}
	pools[best].freeAt.Pop()
	end := bestBegin.Add(serviceTime)
	pools[best].freeAt.Push(end)
	return end.Add(bestReturn).Sub(now), true
}

// Quantile is a latency quantile.
func (b *IdealResult) Quantile(q float64) time.Duration {
	if len(b.Latencies) == 0 {
		return 0
	}
	sort.Slice(b.Latencies, func(i, j int) bool { return b.Latencies[i] < b.Latencies[j] })
	return b.Latencies[int(q*float64(len(b.Latencies)-1))]
}
