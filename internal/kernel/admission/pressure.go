package admission

import (
	"time"
)

const (
	// ShedThreshold is the queue length from which requests are shed, relative to the capacity: the
	// number of requests that can wait and still get a response in time. shedSlope is the increase
	// of the shed ratio per further multiple of the capacity. A short queue for a moment is no
	// overload. Rejected callers retry, so a third of the requests must be rejected to reduce the
	// load by a tenth.
	ShedThreshold = 0.5
	shedSlope     = 1.0
	// maxShedRatio leaves a part of the requests that is always sent, so that the end of an
	// overload is noticed.
	maxShedRatio = 0.7
	// pressureTTL is how long a queue report remains valid: a queue of a dozen requests fills or
	// drains within about a second.
	pressureTTL = time.Second
	// sampleWeight is the weight of a new report in the moving average.
	sampleWeight = 0.25
)

type (
	// QueuePressure estimates the queue length that a class of requests meets, from the reports of
	// their servers. Each proxy keeps its own estimate: all see the same queues, so their
	// independent decisions add up to the same ratio.
	QueuePressure struct {
		level      float64
		observedAt time.Time
	}
)

// Observe adds the queue of one server: the number of waiting requests, and the capacity, up to
// which the last one still gets a response in time.
func (p *QueuePressure) Observe(now time.Time, waiting, capacity float64) {
	if capacity <= 0 {
		return
	}
	level := p.Level(now)
	p.level, p.observedAt = level+sampleWeight*(waiting/capacity-level), now
}

// Level returns the queue length relative to the capacity. Without reports it decays, so that
// requests are sent again to probe the queue.
func (p *QueuePressure) Level(now time.Time) float64 {
	age := now.Sub(p.observedAt)
	if age <= pressureTTL {
		return p.level
	}
	if age >= 2*pressureTTL {
		return 0
	}
	return p.level * float64(2*pressureTTL-age) / float64(pressureTTL)
}

// ShedRatio returns the share of requests to reject. It grows with the queue and so settles where
// the rejected requests equal those that the servers cannot handle. The others then meet a queue in
// which they get a response in time. Without shedding, the queue would fill up and nearly all
// responses would be late.
func (p *QueuePressure) ShedRatio(now time.Time) float64 {
	return min(maxShedRatio, max(0, shedSlope*(p.Level(now)-ShedThreshold)))
}
