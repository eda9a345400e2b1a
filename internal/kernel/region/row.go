// Package region decides how the traffic of each home region is distributed over the regions that
// can serve it, and how fast this distribution may change.
package region

import (
	"slices"
)

const (
	// FullShare is all traffic of a home region, in thousandths.
	FullShare = 1000
)

type (
	// Row is a row of the traffic matrix: the shares of one home region's traffic that each region
	// serves, in thousandths. Regions are in the order of the bundle, and the shares sum to
	// FullShare.
	Row []int

	// WeightedRoundRobin selects a region for each request by the shares of a row. It selects the
	// region that is furthest behind its share, so over any n consecutive requests a region gets
	// its share of n within one request. A random choice would exceed a shift cap by chance.
	WeightedRoundRobin struct {
		credit []int
	}
)

// SingleRegionRow returns the row that sends all traffic to one region.
func SingleRegionRow(regions, to int) Row {
	r := make(Row, regions)
	r[to] = FullShare
	return r
}

// Distance returns how many thousandths of the traffic change their destination between two rows.
func (r Row) Distance(other Row) int {
	shifted := 0
	for i := range r {
		if other[i] > r[i] {
			shifted += other[i] - r[i]
		}
	}
	return shifted
}

// Sum returns the sum of the shares. Any value other than FullShare violates an invariant.
func (r Row) Sum() int {
	total := 0
	for _, share := range r {
		total += share
	}
	return total
}

// Equal reports whether two rows have the same shares.
func (r Row) Equal(other Row) bool { return slices.Equal(r, other) }

// Next returns the index of the region for the next request, or -1 if all shares are zero.
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
			// A region without a share keeps no credit, or it would get a burst of requests when it
			// returns.
			s.credit[i] = 0
		}
	}
	if best >= 0 {
		s.credit[best] -= FullShare
	}
	return best
}
