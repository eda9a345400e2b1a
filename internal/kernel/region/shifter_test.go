package region

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumquay/gypsumquay/internal/fake/seeds"
)

type (
	observedShift struct {
		at     time.Time
		amount int
	}
)

func TestMain(m *testing.M) {
	seeds.SetRapidDefaults("500")
	os.Exit(m.Run())
}

// TestShifterStaysWithinLimits changes targets and loses and restores regions at random. In every
// failover interval, wherever it begins, at most as many thousandths move as the two limits allow
// together, and the row always sums to FullShare.
func TestShifterStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.IntRange(2, 5).Draw(t, "regions")
		planned := ShiftLimit{Cap: rapid.IntRange(1, 300).Draw(t, "cap"), Interval: 10 * time.Second}
		failover := ShiftLimit{Cap: rapid.IntRange(1, 300).Draw(t, "failover cap"), Interval: time.Second}
		m := NewShifter(SingleRegionRow(regions, 0))
		now := time.Unix(1_000_000, 0)
		var shifts []observedShift
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait")) * time.Millisecond)
			lost := make([]bool, regions)
			lost[rapid.IntRange(0, regions-1).Draw(t, "lost")] = rapid.Bool().Draw(t, "is lost")
			before := append(Row(nil), m.Row()...)
			target := SingleRegionRow(regions, rapid.IntRange(0, regions-1).Draw(t, "target"))
			m.Advance(now, target, lost, planned, failover)
			if got := m.Row().Sum(); got != FullShare {
				t.Fatalf("got a row that sums to %d, want %d", got, FullShare)
			}
			shifts = append(shifts, observedShift{now, before.Distance(m.Row())})
			recent := 0
			for _, shift := range shifts {
				if now.Sub(shift.at) < failover.Interval {
					recent += shift.amount
				}
			}
			if want := planned.Cap + failover.Cap; recent > want {
				t.Fatalf("got %d thousandths shifted within %s, want at most %d", recent, failover.Interval, want)
			}
		}
	})
}

// TestWeightedRoundRobinKeepsShares checks that each region's count of requests stays within two
// requests of its share after any number of requests. A random choice would exceed a shift cap now
// and then.
func TestWeightedRoundRobinKeepsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.IntRange(0, FullShare).Draw(t, "first")
		b := rapid.IntRange(0, FullShare-a).Draw(t, "second")
		row := Row{a, b, FullShare - a - b}
		var s WeightedRoundRobin
		counts := make([]int, len(row))
		for n := 1; n <= 300; n++ {
			counts[s.Next(row)]++
			for i, share := range row {
				got, want := float64(counts[i]), float64(n*share)/FullShare
				if got-want > 2 || want-got > 2 {
					t.Fatalf("row %v after %d requests: got %v for region %d, want about %.1f", row, n, got, i, want)
				}
			}
		}
	})
}

// TestHeadroomPlanner checks that rejections move traffic to regions with free quota, that no
// traffic goes to an unusable region, and that traffic returns once nothing is rejected.
func TestHeadroomPlanner(t *testing.T) {
	in := func(current Row, rejected float64, usable ...bool) PlannerInput {
		return PlannerInput{
			Preferred: []Row{SingleRegionRow(3, 0), SingleRegionRow(3, 1), SingleRegionRow(3, 2)},
			Current:   []Row{current, SingleRegionRow(3, 1), SingleRegionRow(3, 2)},
			Usable:    usable,
			Demand:    []float64{100, 10, 10},
			Capacity:  []int{200, 200, 200},
			Quota:     []int{80, 100, 100},
			Rejected:  []float64{rejected, 0, 0},
		}
	}
	cases := []struct {
		name  string
		input PlannerInput
		check func(Row) bool
	}{
		{"no rejections", in(SingleRegionRow(3, 0), 0, true, true, true), func(r Row) bool { return r.Equal(SingleRegionRow(3, 0)) }},
		{"rejections move traffic away", in(SingleRegionRow(3, 0), 20, true, true, true), func(r Row) bool { return r[0] == 800 && r[1]+r[2] == 200 }},
		{"few rejections move nothing", in(SingleRegionRow(3, 0), 4, true, true, true), func(r Row) bool { return r.Equal(SingleRegionRow(3, 0)) }},
		{"traffic returns in steps", in(Row{700, 300, 0}, 0, true, true, true), func(r Row) bool { return r[0] == 700+returnStep }},
		{"unusable region gets no traffic", in(SingleRegionRow(3, 0), 0, false, true, true), func(r Row) bool { return r[0] == 0 && r[1] == 500 && r[2] == 500 }},
		{"single usable region", in(SingleRegionRow(3, 0), 0, false, false, true), func(r Row) bool { return r.Equal(SingleRegionRow(3, 2)) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := headroomTarget(c.input)[0]; !c.check(got) || got.Sum() != FullShare {
				t.Errorf("got row %v, which fails the check of this case", got)
			}
		})
	}
}
