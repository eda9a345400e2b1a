// Package capacity tracks how much capacity the servers of a service have left in each region: how
// many requests run and wait there, how long these take, and how long another one would wait.
package capacity

import (
	"math"
	"slices"
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
	// minRequests is the decayed count below which a class of requests is forgotten.
	minRequests = 0.001
)

type (
	// Report is the load that a server reported. Waiting may be inferred from response times and
	// need not be a whole number then.
	Report struct {
		Running int
		Waiting float64
		Slots   int
		// Room is how many requests may wait so that the last of them still meets the target of the
		// request that brought the report. Zero means unknown.
		Room float64
	}

	// Request is an arriving request as far as the demand depends on it.
	Request struct {
		// Route is the name of the route. Work is the time that its requests usually take, and
		// Slack is how long they can wait for a slot and still meet the target, without the round
		// trip.
		Route       string
		Priority    int
		Work, Slack time.Duration
	}

	// Load is the mean load of the servers of a region, or of one server.
	Load struct {
		// Utilization is the mean share of slots in use, from 0 to 1.
		Utilization float64
		// WaitingPerSlot is the mean number of waiting requests per slot.
		WaitingPerSlot float64
		// Pressure is the mean number of waiting requests relative to the room for them.
		Pressure float64
		// MeanWork is the mean work of the requests of the service.
		MeanWork time.Duration
		// Wait is how long another request would wait for a slot.
		Wait time.Duration
		// Age is the time since the last report, or negative if there was none.
		Age time.Duration
	}

	// Tracker tracks one service, as seen by one proxy. The zero value has no data.
	Tracker struct {
		regions map[string]*Queue
		// demand holds the classes of requests in the order in which they first arrived: sums over
		// it must not depend on the order of a map, because recorded calls are replayed.
		demand   []demand
		demandAt time.Time
		// total is the count of all requests, and meanWork their mean work.
		total    float64
		meanWork time.Duration
	}

	// Queue is the moving average of the load reports of some servers. The zero value has no data.
	Queue struct {
		utilization, waitingPerSlot, pressure float64
		reportedAt                            time.Time
	}

	// demand is the decaying count of the requests of one route with one priority. The work and the
	// slack are those of the most recent request.
	demand struct {
		Request
		count float64
	}
)

// ObserveReport adds a load report of a server in a region.
func (t *Tracker) ObserveReport(now time.Time, region string, r Report) {
	if t.regions == nil {
		t.regions = make(map[string]*Queue)
	}
	q := t.regions[region]
	if q == nil {
		q = &Queue{}
		t.regions[region] = q
	}
	q.Observe(now, r)
}

// ObserveRequest adds a request that arrived.
func (t *Tracker) ObserveRequest(now time.Time, r Request) {
	keep := math.Exp(-max(0, now.Sub(t.demandAt)).Seconds() / demandTimeConstant.Seconds())
	t.demandAt = now
	known, faded := false, false
	for i := range t.demand {
		d := &t.demand[i]
		d.count *= keep
		if d.Route == r.Route && d.Priority == r.Priority {
			d.Request, known = r, true
			d.count++
		}
		faded = faded || d.count < minRequests
	}
	if !known {
		t.demand = append(t.demand, demand{Request: r, count: 1})
	}
	if faded {
		t.demand = slices.DeleteFunc(t.demand, func(d demand) bool { return d.count < minRequests })
	}
	t.sum()
}

// sum updates the total and the mean work. The mean of a single class is exactly its work.
func (t *Tracker) sum() {
	t.total, t.meanWork = 0, t.demand[0].Work
	seconds := 0.0
	for i := range t.demand {
		t.total += t.demand[i].count
		seconds += t.demand[i].count * t.demand[i].Work.Seconds()
	}
	if len(t.demand) > 1 {
		t.meanWork = time.Duration(seconds / t.total * float64(time.Second))
	}
}

// MeanWork returns the mean work of the requests of all routes, or zero if there were none.
func (t *Tracker) MeanWork() time.Duration { return t.meanWork }

// RelativeWork returns the work of a route's requests relative to the mean work, or 1 if either is
// unknown.
func (t *Tracker) RelativeWork(route string) float64 {
	for i := range t.demand {
		if t.demand[i].Route == route && t.meanWork > 0 {
			return float64(t.demand[i].Work) / float64(t.meanWork)
		}
	}
	return 1
}

// Load returns the load of a region.
func (t *Tracker) Load(now time.Time, region string) Load {
	q := t.regions[region]
	if q == nil {
		return Load{Age: -1}
	}
	return q.Load(now, t.MeanWork())
}

// UrgentSlack returns the shortest slack among the more urgent routes that have significant demand,
// and false if there is none.
func (t *Tracker) UrgentSlack(priority int) (time.Duration, bool) {
	shortest, found := time.Duration(0), false
	for i := range t.demand {
		d := &t.demand[i]
		if d.Priority < priority && d.count >= minDemandShare*t.total && (!found || d.Slack < shortest) {
			shortest, found = d.Slack, true
		}
	}
	return shortest, found
}

// Observe adds a load report.
func (q *Queue) Observe(now time.Time, r Report) {
	if r.Slots <= 0 {
		return
	}
	fresh, slots := q.freshness(now), float64(r.Slots)
	q.utilization = average(q.utilization*fresh, min(1, float64(r.Running)/slots))
	q.waitingPerSlot = average(q.waitingPerSlot*fresh, r.Waiting/slots)
	if r.Room > 0 {
		q.pressure = average(q.pressure*fresh, r.Waiting/r.Room)
	}
	q.reportedAt = now
}

// Load returns the load if the requests take the given work in the mean.
func (q *Queue) Load(now time.Time, meanWork time.Duration) Load {
	if q.reportedAt.IsZero() {
		return Load{Age: -1}
	}
	fresh := q.freshness(now)
	l := Load{Utilization: q.utilization * fresh, WaitingPerSlot: q.waitingPerSlot * fresh, Pressure: q.pressure * fresh, MeanWork: meanWork, Age: now.Sub(q.reportedAt)}
	l.Wait = time.Duration(l.WaitingPerSlot * float64(meanWork))
	return l
}

// freshness returns the weight of the last figures: 1 while they are valid, then falling to 0.
func (q *Queue) freshness(now time.Time) float64 {
	age := now.Sub(q.reportedAt)
	switch {
	case age <= reportTTL:
		return 1
	case age >= 2*reportTTL:
		return 0
	}
	return float64(2*reportTTL-age) / float64(reportTTL)
}

func average(old, sample float64) float64 { return old + sampleWeight*(sample-old) }
