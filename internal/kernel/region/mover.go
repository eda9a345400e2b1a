package region

import (
	"slices"
	"time"
)

type (
	// ShiftLimit is one limit on shifts: at most Cap thousandths within Interval.
	ShiftLimit struct {
		Cap      int
		Interval time.Duration
	}

	shiftRecord struct {
		at     time.Time
		amount int
	}

	// Shifter brings one home region's row towards its target and never moves
	// more than the pace allows within any window of the interval. Each proxy
	// limits its own row, and the traffic of all is the weighted mean of the
	// proxies' rows; so the sum keeps the cap too, without a coordinator that
	// could be killed, frozen or doubled.
	//
	// Shares that leave a lost region count against the failover pace, all
	// others against the planned one.
	Shifter struct {
		row      Row
		planned  []shiftRecord
		failover []shiftRecord
	}
)

// NewShifter starts from a row.
func NewShifter(start Row) *Shifter {
	return &Shifter{row: slices.Clone(start)}
}

// Row is the row in force. The caller must not change it.
func (m *Shifter) Row() Row { return m.row }

// RecentShifts is how much has moved within the pace's interval, by kind.
func (m *Shifter) RecentShifts(now time.Time, planned, failover ShiftLimit) (int, int) {
	return sumRecent(&m.planned, now, planned.Interval), sumRecent(&m.failover, now, failover.Interval)
}

// Advance moves the row towards the target as far as the paces allow and
// returns by how much, in thousandths.
func (m *Shifter) Advance(now time.Time, target Row, lost []bool, planned, failover ShiftLimit) int {
	total := 0
	budget := failover.Cap - sumRecent(&m.failover, now, failover.Interval)
	if n := m.shiftShares(target, budget, func(i int) bool { return lost[i] }); n > 0 {
		m.failover = append(m.failover, shiftRecord{at: now, amount: n})
		total += n
	}
	budget = planned.Cap - sumRecent(&m.planned, now, planned.Interval)
	if n := m.shiftShares(target, budget, func(i int) bool { return !lost[i] }); n > 0 {
		m.planned = append(m.planned, shiftRecord{at: now, amount: n})
		total += n
	}
	return total
}

// sumRecent sums the moves within the interval and forgets older ones.
func sumRecent(moves *[]shiftRecord, now time.Time, interval time.Duration) int {
	*moves = slices.DeleteFunc(*moves, func(m shiftRecord) bool { return now.Sub(m.at) >= interval })
	total := 0
	for _, m := range *moves {
		total += m.amount
	}
	return total
}

// shiftShares moves up to budget from regions that have too much, and that from
// selects, to those that have too little, the neediest first. Filling one after
// the other would send a lost region's traffic to a single one of the rest.
func (m *Shifter) shiftShares(target Row, budget int, from func(int) bool) int {
	moved := 0
	for i := range m.row {
		if !from(i) {
			continue
		}
		for m.row[i] > target[i] && moved < budget {
			to := m.largestDeficit(target)
			if to < 0 {
				return moved
			}
			m.row[i]--
			m.row[to]++
			moved++
		}
	}
	return moved
}

// largestDeficit is the region furthest below its target, or -1.
func (m *Shifter) largestDeficit(target Row) int {
	best, maxDeficit := -1, 0
	for i := range m.row {
		if deficit := target[i] - m.row[i]; deficit > maxDeficit {
			best = i
			maxDeficit = deficit
		}
	}
	return best
}
