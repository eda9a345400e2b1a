package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/serverload"
)

// loadReport returns the load that the server reported with the attempt.
func (a Attempt) loadReport() serverload.Report {
	return serverload.Report{Running: a.Running, Waiting: a.Waiting, Slots: a.Slots, WorkPercent: a.WorkPercent}
}

// slotsOr returns the slots that the server reported with the attempt, or the registered ones.
func (a Attempt) slotsOr(registered int) int {
	if a.Slots > 0 {
		return a.Slots
	}
	return registered
}

// withoutSpeed returns the attempt as a server that reports neither slots nor speed would end it.
func (a Attempt) withoutSpeed() Attempt {
	a.Slots, a.WorkPercent = 0, 0
	return a
}

// currentSlots is the number of requests that the server runs at once, as last reported or else as
// registered. Placement uses the registered number, so that homes do not move with reports.
func (s *server) currentSlots(now time.Time) int { return s.reported.Slots(now, s.Slots) }

// applyWorkFactor adds the work factor that the server reports to the expected work and wait. The
// extra cost is kept apart, because it only counts among servers of equal warmth.
func (c *choice) applyWorkFactor(now time.Time) {
	c.workFactor = c.server.reported.Factor(now)
	roundTrip := c.server.rtt.roundTrip
	c.usualUntilStart = c.untilStart
	c.speedCost = time.Duration((c.workFactor - 1) * float64(c.expected-roundTrip))
	c.expected += c.speedCost
	c.untilStart += time.Duration((c.workFactor - 1) * float64(c.untilStart-roundTrip))
}

// betterThan reports whether the choice has a lower cost than another. Both may be empty. The
// reported speeds are compared only among servers of equal warmth: a slow home keeps its objects,
// because they would need even more work on a server that is not warm for them, and the home is
// usually slow for less than a second.
func (c choice) betterThan(other choice) bool {
	switch {
	case c.server == nil:
		return false
	case other.server == nil:
		return true
	}
	cost, otherCost := c.cost, other.cost
	if c.warm == other.warm {
		cost, otherCost = cost+c.speedCost, otherCost+other.speedCost
	}
	return cost < otherCost || cost == otherCost && c.position < other.position
}

// usualTime returns how long a response would have taken according to the expectation at its
// sending if the server had reported its usual speed, and how much of it took longer or shorter for
// reasons that the reports before and after do not explain.
func (req *ActiveRequest) usualTime(work time.Duration, a Attempt) (unexplained, usual time.Duration) {
	usual = time.Duration(float64(req.expected-req.server.rtt.roundTrip) / req.workFactor)
	if usual <= 0 {
		return work, usual
	}
	ratio := float64(work) / float64(usual)
	return time.Duration(serverload.Unexplained(ratio, req.workFactor, a.loadReport().Factor()) * float64(usual)), usual
}

// atUsualSpeed returns how long work would have taken at the server's usual speed. It uses the
// smaller factor of the reports before and after, because an estimate that is too short is
// corrected more slowly than one that is too long. The factor explains at most the difference from
// the estimate: that is the one of all servers of the service, and a server that reports a speed at
// which it does not work must not change it.
func (req *ActiveRequest) atUsualSpeed(work, estimate time.Duration, a Attempt) time.Duration {
	corrected := time.Duration(float64(work) / min(req.workFactor, a.loadReport().Factor()))
	if corrected < work {
		return min(work, max(corrected, estimate))
	}
	return max(work, min(corrected, estimate))
}
