package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/fake/simnet"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

const (
	// lostLoad leaves room for a third of the traffic in two regions.
	lostLoad   = 55
	lostBucket = 500 * time.Millisecond
	// servedShare of a home's requests done means that its traffic is served.
	servedShare = 0.99
)

type (
	// eventRow is one deployment's times until an event has had its effect.
	eventRow struct {
		Deployment  string  `json:"deployment"`
		LostSeconds float64 `json:"region-lost-until-99-percent-served-s"`
		LostUsed    float64 `json:"largest-use-of-a-region-meanwhile"`
		ForceMedian float64 `json:"in-force-median-s"`
		ForceWorst  float64 `json:"in-force-worst-s"`
		DrainMedian float64 `json:"no-new-work-median-s"`
		DrainWorst  float64 `json:"no-new-work-worst-s"`
		StopMedian  float64 `json:"planned-stop-median-s"`
		StopWorst   float64 `json:"planned-stop-worst-s"`
	}
)

func (a *benchArguments) events(name string, c simnet.Config) eventRow {
	c.WarmUp = a.Warm
	r := eventRow{Deployment: name}
	r.LostSeconds, r.LostUsed = a.lostRegion(c)
	var force, drain, stop []float64
	for i := range a.Repeats {
		f, d, s := a.drainAndStop(c, a.Seed+uint64(i))
		force = append(force, f)
		drain = append(drain, d)
		stop = append(stop, s)
	}
	r.ForceMedian, r.ForceWorst = medianWorst(force)
	r.DrainMedian, r.DrainWorst = medianWorst(drain)
	r.StopMedian, r.StopWorst = medianWorst(stop)
	return r
}

// lostRegion stops all backend servers of the first region, which come back
// cold at the end of the run or not at all.
func (a *benchArguments) lostRegion(c simnet.Config) (seconds, used float64) {
	c.Seed = a.Seed
	c.Load = slotLoad(c, lostLoad)
	s := simnet.New(c)
	s.Run(c.WarmUp)
	lost := s.Now()
	s.SetRegionDown(c.Bundle.Regions[0].Name, true)
	s.Run(2 * a.Span)
	callers := s.Callers()
	return servedAfter(callers.DoneAt[0], callers.FailedAt[0], lost, s.Now()), s.Checks().PeakUtilization
}

// servedAfter is the time from which on each bucket has the wanted share done.
func servedAfter(done, failed []time.Time, from, to time.Time) float64 {
	buckets := int(to.Sub(from) / lostBucket)
	good := make([]int, buckets+1)
	bad := make([]int, buckets+1)
	count := func(list []time.Time, into []int) {
		for _, t := range list {
			if at := int(t.Sub(from) / lostBucket); !t.Before(from) && at <= buckets {
				into[at]++
			}
		}
	}
	count(done, good)
	count(failed, bad)
	last := -1
	for i := range good {
		if total := good[i] + bad[i]; total > 0 && float64(good[i]) < servedShare*float64(total) {
			last = i
		}
	}
	return (time.Duration(last+1) * lostBucket).Seconds()
}

// drainAndStop drains one backend server by bundle and stops one proxy, at
// half load, and times both.
func (a *benchArguments) drainAndStop(c simnet.Config, seed uint64) (force, drain, stop float64) {
	small := c.ScaledDown()
	small.Seed = seed
	small.Load = slotLoad(small, 50)
	s := simnet.New(small)
	s.Run(small.WarmUp)
	target := small.Bundle.Services[1].Servers[0].Name
	began := s.Now()
	s.Inject(simnet.Fault{Kind: "drain-server", Target: target})
	s.Run(3 * time.Second)
	if n := len(s.Checks().RolloutTimes); n > 0 {
		force = s.Checks().RolloutTimes[n-1].Seconds()
	}
	drain = max(0, s.Checks().LastDispatch[target].Sub(began).Seconds())
	began = s.Now()
	s.Inject(simnet.Fault{Kind: "stop-proxy", Target: "1", Duration: operator.Duration(time.Hour)})
	for s.Checks().PlannedStops() == 0 && s.Now().Sub(began) < time.Minute {
		s.Run(lostBucket)
	}
	return force, drain, s.Now().Sub(began).Seconds()
}

func medianWorst(list []float64) (median, worst float64) {
	slices.Sort(list)
	return list[len(list)/2], list[len(list)-1]
}

func printEvents(rows []eventRow) {
	fmt.Printf("\n%-10s %12s %9s %16s %16s %16s\n", "DEPLOYMENT", "REGION LOST", "USED", "IN FORCE", "NO NEW WORK", "PLANNED STOP")
	for _, r := range rows {
		fmt.Printf("%-10s %10.1f s %9.3f %7.2f/%.2f s  %7.2f/%.2f s  %7.2f/%.2f s\n", r.Deployment, r.LostSeconds, r.LostUsed,
			r.ForceMedian, r.ForceWorst, r.DrainMedian, r.DrainWorst, r.StopMedian, r.StopWorst)
	}
	fmt.Println("pairs are median/worst")
}
