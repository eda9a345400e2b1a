package region

import (
	"slices"
	"time"
)

type (
	// ShiftLimit bounds traffic shifts: at most Cap thousandths within any Interval.
	ShiftLimit struct {
		Cap      int
		Interval time.Duration
	}

	shiftRecord struct {
		at     time.Time
		amount int
	}

	// Shifter moves one home region's row towards its target, never by more than the limits allow
	// within any window of their interval. Each proxy limits its own row. The total traffic is the
	// weighted mean of the proxies' rows, so it stays within the cap as well, without a coordinator
	// that could be killed, frozen or run twice.
	//
	// Shares that leave a lost region count against the failover limit, all others against the
	// planned limit.
	Shifter struct {
		row      Row
		planned  []shiftRecord
		failover []shiftRecord
	}
)

// NewShifter returns a shifter whose current row is a copy of start.
func NewShifter(start Row) *Shifter {
	return &Shifter{row: slices.Clone(start)}
}

// Row returns the current row. The caller must not modify it.
func (m *Shifter) Row() Row { return m.row }

// RecentShifts returns how many thousandths were shifted within the interval of each limit:
// planned shifts first, failover shifts second.
func (m *Shifter) RecentShifts(now time.Time, planned, failover ShiftLimit) (int, int) {
	return sumRecent(&m.planned, now, planned.Interval), sumRecent(&m.failover, now, failover.Interval)
}

// Advance moves the row towards the target as far as the limits allow and returns how many
// thousandths it shifted.
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

// sumRecent adds up the shifts within the interval and deletes older records.
func sumRecent(records *[]shiftRecord, now time.Time, interval time.Duration) int {
	*records = slices.DeleteFunc(*records, func(r shiftRecord) bool { return now.Sub(r.at) >= interval })
	total := 0
	for _, r := range *records {
		total += r.amount
	}
	return total
}

// shiftShares moves up to budget thousandths from the regions selected by from that are above their
// target to regions below theirs. Each unit goes to the region with the largest deficit: filling
// one region after the other would send all of a lost region's traffic to a single region.
func (m *Shifter) shiftShares(target Row, budget int, from func(int) bool) int {
	shifted := 0
	for i := range m.row {
		if !from(i) {
			continue
		}
		for m.row[i] > target[i] && shifted < budget {
			to := m.largestDeficit(target)
			if to < 0 {
				return shifted
			}
			m.row[i]--
			m.row[to]++
			shifted++
		}
	}
	return shifted
}

// largestDeficit returns the index of the region furthest below its target, or -1 if there is none.
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
