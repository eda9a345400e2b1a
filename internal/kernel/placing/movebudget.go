package placing

import "time"

const (
	// moveInterval is the interval in which placement takes one step. Intervals begin at the same
	// time at all proxies, so that they take their steps together.
	moveInterval = 2 * time.Second
	// maxMoved is the share of a region's requests that is moved to other servers in one interval.
	// Placement may move 0.05; the rest is for whole objects, which move at once. The operators permit
	// 0.15 of a region's callers to change the region within this time, so that rollouts, restrictions
	// of accounts and chance have their part.
	maxMoved = 0.04
)

type (
	// MoveBudget bounds the share of a region's requests that placement moves, over all services.
	MoveBudget struct {
		interval time.Time
		left     float64
	}
)

// Begin starts a new interval and reports whether there is one. It is called periodically.
func (b *MoveBudget) Begin(now time.Time) bool {
	interval := now.Truncate(moveInterval)
	if !interval.After(b.interval) {
		return false
	}
	b.interval, b.left = interval, maxMoved
	return true
}

// spend takes a share of the requests from the budget.
func (b *MoveBudget) spend(share float64) { b.left = max(0, b.left-share) }
