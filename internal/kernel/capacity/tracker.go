// Package capacity tracks how much capacity the servers of a service have left in each region: how
// many requests run and wait there, how long these take, and how long another one would wait.
package capacity

import (
	"math"
	"time"
)

const (
	// reportTTL is how long a report remains valid: a queue of a dozen requests fills or drains
	// within about a second. After it, the figures decay to zero within the same time, so that
	// requests are sent again to probe the queues.
	reportTTL = time.Second
	// sampleWeight is the weight of a new report in the moving averages.
	sampleWeight = 0.25
	// demandTimeConstant is the time constant of the demand counts. The mix of routes changes
	// slowly; a burst of one route must show within seconds.
	demandTimeConstant = 5 * time.Second
	// minDemandShare is the share of the requests of a service from which a priority has
	// significant demand. A few requests must not reserve capacity that others need.
	minDemandShare = 0.02
)

type (
	// Report is the load that a server reported.
	Report struct {
		Running, Waiting, Slots int
	}

	// Load is the mean load of the servers of a region.
	Load struct {
		// Utilization is the mean share of slots in use, from 0 to 1.
		Utilization float64
		// WaitingPerSlot is the mean number of waiting requests per slot.
		WaitingPerSlot float64
		// Wait is how long another request would wait for a slot.
		Wait time.Duration
		// Age is the time since the last report, or negative if there was none.
		Age time.Duration
	}

	// Tracker tracks one service, as seen by one proxy. The zero value has no data.
	Tracker struct {
		regions map[string]*region
		demand  map[int]*demand
	}

	region struct {
		utilization, waitingPerSlot float64
		reportedAt                  time.Time
	}

	// demand is the decaying count of the requests of one priority, and of their work.
	demand struct {
		requests float64
		seconds  float64
		// slack is the time that the most recent request could wait and still meet its target.
		slack time.Duration
		at    time.Time
	}
)

// ObserveReport adds a load report of a server in a region.
func (t *Tracker) ObserveReport(now time.Time, name string, r Report) {
	if r.Slots <= 0 {
		return
	}
	if t.regions == nil {
		t.regions = make(map[string]*region)
	}
	g := t.regions[name]
	if g == nil {
		g = &region{}
		t.regions[name] = g
	}
	fresh := g.freshness(now)
	slots := float64(r.Slots)
	g.utilization = average(g.utilization*fresh, min(1, float64(r.Running)/slots))
	g.waitingPerSlot = average(g.waitingPerSlot*fresh, float64(r.Waiting)/slots)
	g.reportedAt = now
}

// ObserveRequest adds a request that arrived: its priority, its expected work, and the slack, which
// is how long it can wait for a slot and still meet its target.
func (t *Tracker) ObserveRequest(now time.Time, priority int, work, slack time.Duration) {
	if t.demand == nil {
		t.demand = make(map[int]*demand)
	}
	d := t.demand[priority]
	if d == nil {
		d = &demand{}
		t.demand[priority] = d
	}
	keep := d.decay(now)
	d.requests, d.seconds = d.requests*keep+1, d.seconds*keep+work.Seconds()
	d.slack, d.at = slack, now
}

// MeanWork returns the mean work of the requests of all priorities, or zero if there were none.
func (t *Tracker) MeanWork(now time.Time) time.Duration {
	requests, seconds := 0.0, 0.0
	for _, d := range t.demand {
		keep := d.decay(now)
		requests += d.requests * keep
		seconds += d.seconds * keep
	}
	if requests == 0 {
		return 0
	}
	return time.Duration(seconds / requests * float64(time.Second))
}

// Load returns the load of a region.
func (t *Tracker) Load(now time.Time, name string) Load {
	g := t.regions[name]
	if g == nil {
		return Load{Age: -1}
	}
	fresh := g.freshness(now)
	l := Load{Utilization: g.utilization * fresh, WaitingPerSlot: g.waitingPerSlot * fresh, Age: now.Sub(g.reportedAt)}
	l.Wait = time.Duration(l.WaitingPerSlot * float64(t.MeanWork(now)))
	return l
}

// UrgentSlack returns the shortest slack among the more urgent priorities that have significant
// demand, and false if there is none.
func (t *Tracker) UrgentSlack(now time.Time, priority int) (time.Duration, bool) {
	total := 0.0
	for _, d := range t.demand {
		total += d.requests * d.decay(now)
	}
	shortest, found := time.Duration(math.MaxInt64), false
	for p, d := range t.demand {
		if p < priority && d.requests*d.decay(now) >= minDemandShare*total && d.slack < shortest {
			shortest, found = d.slack, true
		}
	}
	if !found {
		return 0, false
	}
	return shortest, true
}

// freshness returns the weight of the last figures: 1 while they are valid, then falling to 0.
func (g *region) freshness(now time.Time) float64 {
	age := now.Sub(g.reportedAt)
	switch {
	case age <= reportTTL:
		return 1
	case age >= 2*reportTTL:
		return 0
	}
	return float64(2*reportTTL-age) / float64(reportTTL)
}

func (d *demand) decay(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(d.at)).Seconds() / demandTimeConstant.Seconds())
}

func average(old, sample float64) float64 { return old + sampleWeight*(sample-old) }
