package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/fake/simnet"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

const (
	// regionLossLoad is the load in percent of the slots; two regions have room for the third of
	// the traffic that the lost region leaves.
	regionLossLoad = 55
	bucketWidth    = 500 * time.Millisecond
	// minServedShare is the share of a home region's requests that must succeed for its traffic to
	// count as served.
	minServedShare = 0.99
)

type (
	// eventRow holds the times from an event until it has taken effect in one deployment.
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

func (a *benchArguments) measureEvents(name string, c simnet.Config) eventRow {
	c.WarmUp = a.Warm
	r := eventRow{Deployment: name}
	r.LostSeconds, r.LostUsed = a.measureRegionLoss(c)
	var force, drain, stop []float64
	for i := range a.Repeats {
		f, d, s := a.measureDrainAndStop(c, a.Seed+uint64(i))
		force = append(force, f)
		drain = append(drain, d)
		stop = append(stop, s)
	}
	r.ForceMedian, r.ForceWorst = medianWorst(force)
	r.DrainMedian, r.DrainWorst = medianWorst(drain)
	r.StopMedian, r.StopWorst = medianWorst(stop)
	return r
}

// measureRegionLoss stops all backend servers of the first region until the end of the run, and
// returns the time until 99% of the region's requests succeed again and the largest use of a
// region.
func (a *benchArguments) measureRegionLoss(c simnet.Config) (seconds, used float64) {
	c.Seed = a.Seed
	c.Load = slotLoad(c, regionLossLoad)
	s := simnet.New(c)
	s.Run(c.WarmUp)
	lostAt := s.Now()
	s.SetRegionDown(c.Bundle.Regions[0].Name, true)
	s.Run(2 * a.Span)
	callers := s.Callers()
	return recoverySeconds(callers.DoneAt[0], callers.FailedAt[0], lostAt, s.Now()), s.Checks().PeakUtilization
}

// recoverySeconds returns the time after which every bucket reaches minServedShare.
func recoverySeconds(done, failed []time.Time, from, to time.Time) float64 {
	buckets := int(to.Sub(from) / bucketWidth)
	doneCounts := make([]int, buckets+1)
	failedCounts := make([]int, buckets+1)
	count := func(list []time.Time, into []int) {
		for _, t := range list {
			if bucket := int(t.Sub(from) / bucketWidth); !t.Before(from) && bucket <= buckets {
				into[bucket]++
			}
		}
	}
	count(done, doneCounts)
	count(failed, failedCounts)
	last := -1
	for i := range doneCounts {
		if total := doneCounts[i] + failedCounts[i]; total > 0 && float64(doneCounts[i]) < minServedShare*float64(total) {
			last = i
		}
	}
	return (time.Duration(last+1) * bucketWidth).Seconds()
}

// measureDrainAndStop measures at half load how long the drain of a backend server by a bundle and
// the graceful shutdown of a proxy take.
func (a *benchArguments) measureDrainAndStop(c simnet.Config, seed uint64) (force, drain, stop float64) {
	config := c.ScaledDown()
	config.Seed = seed
	config.Load = slotLoad(config, 50)
	s := simnet.New(config)
	s.Run(config.WarmUp)
	target := config.Bundle.Services[1].Servers[0].Name
	start := s.Now()
	s.Inject(simnet.Fault{Kind: "drain-server", Target: target})
	s.Run(3 * time.Second)
	if n := len(s.Checks().RolloutTimes); n > 0 {
		force = s.Checks().RolloutTimes[n-1].Seconds()
	}
	drain = max(0, s.Checks().LastDispatch[target].Sub(start).Seconds())
	start = s.Now()
	s.Inject(simnet.Fault{Kind: "stop-proxy", Target: "1", Duration: operator.Duration(time.Hour)})
	for s.Checks().GracefulShutdowns() == 0 && s.Now().Sub(start) < time.Minute {
		s.Run(bucketWidth)
	}
	return force, drain, s.Now().Sub(start).Seconds()
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
