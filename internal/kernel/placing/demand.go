package placing

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is how long a request counts for an object's demand. Each of a hundred
	// proxies sees one request in a hundred: an object that takes half of a server's
	// slots, some ten requests a second, is seen about once in this time.
	demandTimeConstant = 10 * time.Second
	// minObservation is the least time over which what was counted is taken to have come. In
	// the first seconds two requests by chance would show as dozens a second.
	minObservation = 4 * time.Second
	// maxDemandObjects bounds the objects that are counted; one that is asked for often is
	// counted again soon.
	maxDemandObjects = 4096
	// minCount is the count below which an object is no longer kept.
	minCount = 0.1
)

type (
	// Demand counts how often objects are asked for, as one proxy sees it.
	Demand struct {
		startedAt time.Time
		objects   map[string]decayingCount
	}

	// decayingCount is an object's count, which fades, as it was at a moment.
	decayingCount struct {
		count float64
		at    time.Time
	}
)

// Record counts one request for an object.
func (d *Demand) Record(now time.Time, object string) {
	if d.objects == nil {
		d.startedAt, d.objects = now, make(map[string]decayingCount)
	}
	a, known := d.objects[object]
	if !known && len(d.objects) >= maxDemandObjects && !d.sweep(now) {
		return
	}
	d.objects[object] = decayingCount{count: a.decayed(now) + 1, at: now}
}

// LowerBound is how often the object is asked for in a second, at the least that the count
// makes likely: its standard deviation is taken off. One request by chance must not
// pass for a hundred at a hundred proxies.
func (d *Demand) LowerBound(now time.Time, object string) float64 {
	count := d.objects[object].decayed(now)
	if count <= 1 {
		return 0
	}
	observed := max(now.Sub(d.startedAt), minObservation)
	effective := demandTimeConstant.Seconds() * -math.Expm1(-observed.Seconds()/demandTimeConstant.Seconds())
	return (count - math.Sqrt(count)) / effective
}

// sweep drops objects that are hardly asked for and reports whether there is room.
func (d *Demand) sweep(now time.Time) bool {
	for object, a := range d.objects {
		if a.decayed(now) < minCount {
			delete(d.objects, object)
		}
	}
	return len(d.objects) < maxDemandObjects
}

// decayed is the count as it is now.
func (a decayingCount) decayed(now time.Time) float64 {
	if a.count == 0 {
		return 0
	}
	return a.count * math.Exp(-now.Sub(a.at).Seconds()/demandTimeConstant.Seconds())
}
