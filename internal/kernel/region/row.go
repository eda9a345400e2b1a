// Package region decides how the traffic of each home region is spread over
// the regions that can serve it, and how fast that spread may change.
package region

import (
	"slices"
)

const (
	// FullShare is a whole row in thousandths.
	FullShare = 1000
)

type (
	// Row spreads the traffic of one home region: thousandths by region, in
	// the bundle's order, which sum to Full.
	Row []int

	// WeightedRoundRobin turns a row into choices one at a time. Each choice goes to the
	// region that is furthest behind its share, so any run of n requests gives
	// a region its share of n within one request; a random draw would exceed
	// a cap by chance.
	WeightedRoundRobin struct {
		credit []int
	}
)

// SingleRegionRow is the row that sends everything to one region.
func SingleRegionRow(regions, to int) Row {
	r := make(Row, regions)
	r[to] = FullShare
	return r
}

// Distance is how many thousandths of the traffic change their destination
// from one row to the other.
func (r Row) Distance(other Row) int {
	moved := 0
	for i := range r {
		if other[i] > r[i] {
			moved += other[i] - r[i]
		}
	}
	return moved
}

// Sum adds the row up; any other value than Full is a broken invariant.
func (r Row) Sum() int {
	total := 0
	for _, share := range r {
		total += share
	}
	return total
}

// Equal compares two rows.
func (r Row) Equal(other Row) bool { return slices.Equal(r, other) }

// Next chooses the region of the next request.
func (s *WeightedRoundRobin) Next(r Row) int {
	if len(s.credit) != len(r) {
		s.credit = make([]int, len(r))
	}
	best := -1
	for i, share := range r {
		s.credit[i] += share
		if share > 0 && (best < 0 || s.credit[i] > s.credit[best]) {
			best = i
		}
		if share == 0 {
			// A region taken out keeps no claim to be made up for later.
			s.credit[i] = 0
		}
	}
	if best >= 0 {
		s.credit[best] -= FullShare
	}
	return best
}
