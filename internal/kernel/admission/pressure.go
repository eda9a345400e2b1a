package admission

import (
	"time"
)

const (
	// ShedThreshold is the queue, as a part of the room for requests that can still be
	// answered in time, from which some are refused, and shedSlope the share
	// refused for each further whole room. A queue that is short for a moment is
	// no overload. Refused callers come back, so a third must be refused for a
	// tenth to stay away.
	ShedThreshold = 0.5
	shedSlope     = 1.0
	// maxShedRatio leaves a part that is always sent, so that the end of an overload
	// is noticed.
	maxShedRatio = 0.7
	// pressureTTL is how long a report of a queue counts: a queue of a dozen
	// fills or empties within about a second.
	pressureTTL = time.Second
	// sampleWeight is the weight of one more report among those just before it.
	sampleWeight = 0.25
)

type (
	// QueuePressure is how long the queues are that a part of the requests meet, from
	// what their servers told. Each proxy keeps its own: all meet the same
	// queues, so what each refuses by itself adds up to the same share.
	QueuePressure struct {
		level      float64
		observedAt time.Time
	}
)

// Observe takes in one server's queue: how many wait there, and how many may wait
// for the last to be answered in time.
func (p *QueuePressure) Observe(now time.Time, waiting, capacity float64) {
	if capacity <= 0 {
		return
	}
	level := p.Level(now)
	p.level, p.observedAt = level+sampleWeight*(waiting/capacity-level), now
}

// Level is the queue as a part of the room. Without news it fades, and requests
// are sent again to see.
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

// ShedRatio is the share of requests to refuse. It grows with the queue, so that it
// settles where as many are refused as the servers cannot serve: the others
// then find a queue in which they are answered in time. Where none are refused
// the queue grows to its end, and nearly all answers come late.
func (p *QueuePressure) ShedRatio(now time.Time) float64 {
	return min(maxShedRatio, max(0, shedSlope*(p.Level(now)-ShedThreshold)))
}
