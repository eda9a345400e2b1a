package region

import (
	"fmt"
	"sort"
)

const (
	// DefaultPlanner is the name of the default planner.
	DefaultPlanner = "headroom"
	// targetUtilization is the share of a quota that a planner fills before it
	// moves traffic elsewhere, in thousandths.
	targetUtilization = 950
	// maxRejectionRatio is the share of a region's traffic that may be refused before
	// any is moved elsewhere; chance alone refuses a few.
	maxRejectionRatio = 0.02
	// minRejectionRate is the same in requests per second, where load is low.
	minRejectionRate = 5
	// returnStep is how much of a row comes home at once, in thousandths.
	returnStep = 50
	// deadband is the smallest change of a share worth a move, in
	// thousandths. Demand that wobbles would else move traffic for nothing.
	deadband = 10
)

var (
	planners = map[string]Planner{}
)

type (
	// PlannerInput is what a planner sees: one proxy's own view.
	PlannerInput struct {
		// Preferred is the bundle's row of each home region.
		Preferred []Row
		// Current is the row in force of each home region.
		Current []Row
		// Usable tells which regions are neither lost nor drained.
		Usable []bool
		// Demand is this proxy's requests per second by home region.
		Demand []float64
		// Capacity is each region's requests per second for all proxies.
		Capacity []int
		// Quota is this proxy's requests per second by region.
		Quota []int
		// Rejected is how many requests a second found no quota, by region.
		Rejected []float64
	}

	// Planner computes the target row of each home region.
	Planner struct {
		Name   string
		Help   string
		Target func(PlannerInput) []Row
	}
)

func init() {
	RegisterPlanner(Planner{
		Name:   DefaultPlanner,
		Help:   "the bundle's rows; what a region cannot take goes where quota is free",
		Target: headroomTarget,
	})
	RegisterPlanner(Planner{
		Name:   "fixed",
		Help:   "the bundle's rows; only lost and drained regions are left out",
		Target: fixedTarget,
	})
}

// RegisterPlanner adds a planner to the registry, from init functions only.
func RegisterPlanner(p Planner) {
	if _, taken := planners[p.Name]; taken {
		panic(fmt.Sprintf("region: planner %q registered twice", p.Name))
	}
	planners[p.Name] = p
}

// FindPlanner looks a planner up.
func FindPlanner(name string) (Planner, bool) {
	p, ok := planners[name]
	return p, ok
}

// PlannerNames lists the registered names in order.
func PlannerNames() []string {
	names := make([]string, 0, len(planners))
	for name := range planners {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// fixedTarget moves the share of unusable regions to the others.
func fixedTarget(in PlannerInput) []Row {
	rows := make([]Row, len(in.Preferred))
	weights := capacityWeights(in)
	for home, preferred := range in.Preferred {
		rows[home] = excludeUnusable(preferred, in.Usable, weights)
	}
	return rows
}

// excludeUnusable spreads what unusable regions hold over the usable ones by weight.
func excludeUnusable(row Row, usable []bool, weights []float64) Row {
	out := make(Row, len(row))
	unassigned := 0
	for i, share := range row {
		if usable[i] {
			out[i] = share
		} else {
			unassigned += share
		}
	}
	if !distribute(out, unassigned, weights) {
		return append(Row(nil), row...)
	}
	return out
}

// distribute adds an amount to a row in proportion to weights, to the unit. It
// reports false when no weight is positive.
func distribute(row Row, amount int, weights []float64) bool {
	total := 0.0
	last := -1
	for i, w := range weights {
		if w > 0 {
			total += w
			last = i
		}
	}
	if last < 0 {
		return amount == 0
	}
	remaining := amount
	for i, w := range weights {
		if w <= 0 || i == last {
			continue
		}
		n := int(float64(amount) * w / total)
		row[i] += n
		remaining -= n
	}
	row[last] += remaining
	return true
}

// headroomTarget moves what a region refuses to regions with free quota, and
// brings traffic back to where the bundle wants it while its region has room.
// It goes by refusals and not by how full the own quota is, for quota is
// borrowed as it is needed and is always nearly full.
func headroomTarget(in PlannerInput) []Row {
	rows := make([]Row, len(in.Preferred))
	weights := capacityWeights(in)
	for home := range rows {
		rows[home] = excludeUnusable(in.Current[home], in.Usable, weights)
	}
	load := make([]float64, len(in.Usable))
	for home, row := range rows {
		for i, share := range row {
			load[i] += in.Demand[home] * float64(share) / FullShare
		}
	}
	headroom := make([]float64, len(load))
	for i := range load {
		if in.Usable[i] {
			headroom[i] = max(0, float64(in.Quota[i])*targetUtilization/FullShare-load[i])
		}
	}
	for i := range load {
		if in.Usable[i] && isOverloaded(in, load, i) {
			offload(in, rows, headroom, load, i)
		}
	}
	for home := range rows {
		returnTraffic(in, rows[home], in.Preferred[home])
	}
	return rows
}

// isOverloaded reports whether a region refuses more than chance does.
func isOverloaded(in PlannerInput, load []float64, i int) bool {
	return in.Rejected[i] > max(maxRejectionRatio*load[i], minRejectionRate)
}

// capacityWeights spreads by the regions' whole capacity and not by the own
// quota, which is small and uneven where this proxy had no traffic so far.
func capacityWeights(in PlannerInput) []float64 {
	weights := make([]float64, len(in.Usable))
	for i := range weights {
		if in.Usable[i] {
			weights[i] = float64(in.Capacity[i])
		}
	}
	return weights
}

// offload moves what one region refuses to others, as far as they have room,
// each home in proportion to what it sends there.
func offload(in PlannerInput, rows []Row, headroom, load []float64, overloaded int) {
	available := make([]float64, len(headroom))
	total := 0.0
	for i, r := range headroom {
		if i != overloaded && !isOverloaded(in, load, i) {
			available[i] = r
			total += r
		}
	}
	excess := min(in.Rejected[overloaded], total)
	if excess <= 0 || load[overloaded] <= 0 {
		return
	}
	for _, row := range rows {
		n := int(float64(row[overloaded]) * excess / load[overloaded])
		if n >= deadband && distribute(row, n, available) {
			row[overloaded] -= n
		}
	}
	for i := range available {
		headroom[i] -= excess * available[i] / total
	}
}

// returnTraffic moves one step towards the bundle's row, into regions that refuse
// next to nothing now.
func returnTraffic(in PlannerInput, row, preferred Row) {
	for to := range row {
		if !in.Usable[to] || in.Rejected[to] > minRejectionRate/2 || row[to] >= preferred[to] {
			continue
		}
		for from := range row {
			n := min(returnStep, preferred[to]-row[to], row[from]-preferred[from])
			if n > 0 {
				row[from] -= n
				row[to] += n
			}
		}
	}
}
