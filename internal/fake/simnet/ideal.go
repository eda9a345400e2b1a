package simnet

import (
	"math/rand/v2"
	"sort"
	"time"
)

type (
	// IdealResult is the outcome of an ideal scheduler, which knows the state of every slot and
	// request at once and decides at no cost. No real system can do this; it is the bound that real
	// balancers are compared with.
	IdealResult struct {
		Latencies []time.Duration
		Rejected  int
	}

	// slotPool is all slots of one service in one region.
	slotPool struct {
		freeAt Heap[time.Time]
	}
)

// RunIdealScheduler simulates the given span after the warm-up with one queue per service and
// region. Arrivals and service times are drawn from the same distributions as in a run of Sim.
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
		latency, ok := scheduleIdeally(c, pools[service], homeRegion, now, jitter(r, c.ServiceTime), c.Bundle.Services[service].Deadline.Std())
		switch {
		case now.Before(start.Add(c.WarmUp)):
		case ok:
			result.Latencies = append(result.Latencies, latency)
		default:
			result.Rejected++
		}
	}
}

// newSlotPools returns the slot pools by service and region.
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

// scheduleIdeally runs a request in the region where it is expected to finish first, given mean
// network delays and the mean service time. The actual service time is not taken into account:
// otherwise the bound would gain throughput by rejecting long requests.
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

// Quantile returns the latency quantile q.
func (b *IdealResult) Quantile(q float64) time.Duration {
	if len(b.Latencies) == 0 {
		return 0
	}
	sort.Slice(b.Latencies, func(i, j int) bool { return b.Latencies[i] < b.Latencies[j] })
	return b.Latencies[int(q*float64(len(b.Latencies)-1))]
}
