package placing

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant with which the request count of an object decays.
	// Each of a hundred proxies sees one request in a hundred: an object that uses half of a
	// server's slots, some ten requests a second, is seen about once in this time.
	demandTimeConstant = 10 * time.Second
	// minObservation is the shortest time over which counted requests are averaged. Without it,
	// two requests that happen to arrive in the first seconds would look like dozens a second.
	minObservation = 4 * time.Second
	// maxDemandObjects bounds the number of objects that are counted. An object that is requested
	// often but wasn't counted is soon counted.
	maxDemandObjects = 4096
	// minCount is the count below which an object is evicted.
	minCount = 0.1
)

type (
	// Demand estimates how often objects are requested, as seen by one proxy.
	Demand struct {
		startedAt time.Time
		objects   map[Object]decayingCount
	}

	// decayingCount is an exponentially decaying count and the time at which it had this value.
	decayingCount struct {
		count float64
		at    time.Time
	}

	// workCount is the exponentially decaying sums of requests and of the work they need.
	workCount struct {
		requests, seconds float64
		at                time.Time
	}
)

// Record counts one request for an object.
func (d *Demand) Record(now time.Time, object Object) {
	if d.objects == nil {
		d.startedAt, d.objects = now, make(map[Object]decayingCount)
	}
	a, known := d.objects[object]
	if !known && len(d.objects) >= maxDemandObjects && !d.sweep(now) {
		return
	}
	d.objects[object] = decayingCount{count: a.decayed(now) + 1, at: now}
}

// LowerBound returns a lower estimate of an object's request rate, per second: the count less its
// standard deviation. Without this margin, a single chance request at one of a hundred proxies
// would be taken for a hundred requests in the fleet.
func (d *Demand) LowerBound(now time.Time, object Object) float64 {
	count := d.objects[object].decayed(now)
	if count <= 1 {
		return 0
	}
	observed := max(now.Sub(d.startedAt), minObservation)
	effective := demandTimeConstant.Seconds() * -math.Expm1(-observed.Seconds()/demandTimeConstant.Seconds())
	return (count - math.Sqrt(count)) / effective
}

// sweep evicts objects that are rarely requested and reports whether there is room for another.
func (d *Demand) sweep(now time.Time) bool {
	for object, a := range d.objects {
		if a.decayed(now) < minCount {
			delete(d.objects, object)
		}
	}
	return len(d.objects) < maxDemandObjects
}

// decayed returns the count at now.
func (a decayingCount) decayed(now time.Time) float64 { return a.decayedOver(now, demandTimeConstant) }

// decayedOver returns the count at now with another time constant.
func (a decayingCount) decayedOver(now time.Time, timeConstant time.Duration) float64 {
	if a.count == 0 {
		return 0
	}
	return a.count * math.Exp(-now.Sub(a.at).Seconds()/timeConstant.Seconds())
}

// decayedOver returns the sums at now.
func (w workCount) decayedOver(now time.Time, timeConstant time.Duration) workCount {
	keep := decayingCount{count: 1, at: w.at}.decayedOver(now, timeConstant)
	return workCount{requests: w.requests * keep, seconds: w.seconds * keep, at: now}
}

// add counts a request in sums that decay with the given time constant.
func (w *workCount) add(now time.Time, work, timeConstant time.Duration) {
	*w = w.decayedOver(now, timeConstant)
	w.requests++
	w.seconds += work.Seconds()
}
