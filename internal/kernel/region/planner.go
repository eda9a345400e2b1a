package region

import (
	"fmt"
	"sort"
)

const (
	// DefaultPlanner is the name of the planner used if the bundle does not name a registered one.
	DefaultPlanner = "headroom"
	// targetUtilization is the share of a region's quota, in thousandths, that the planner counts
	// as usable when it moves traffic to the region.
	targetUtilization = 950
	// maxRejectionRatio is the share of a region's traffic that may be rejected before any is moved
	// elsewhere. Random arrivals alone cause a few rejections.
	maxRejectionRatio = 0.02
	// minRejectionRate is the corresponding threshold at low load, in requests per second.
	minRejectionRate = 5
	// returnStep is the most that moves back from one region to another per run, in thousandths.
	returnStep = 50
	// deadband is the smallest change of a share, in thousandths, that is applied. Without it,
	// small variations in demand would cause needless shifts.
	deadband = 10
)

var (
	planners = map[string]Planner{}
)

type (
	// PlannerInput is the state a planner works from, as seen by one proxy.
	PlannerInput struct {
		// Preferred holds the row that the bundle sets for each home region.
		Preferred []Row
		// Current holds the current row of each home region.
		Current []Row
		// Usable marks the regions that are neither lost nor drained.
		Usable []bool
		// Demand is the rate of requests at this proxy by home region, in requests per second.
		Demand []float64
		// Capacity is what each region serves for all proxies together, in requests per second.
		Capacity []int
		// Quota is this proxy's quota by region, in requests per second.
		Quota []int
		// Rejected is the rate of requests rejected for lack of quota by region, in requests per
		// second.
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
		Help:   "the bundle's rows; traffic that a region rejects goes to regions with free quota",
		Target: headroomTarget,
	})
	RegisterPlanner(Planner{
		Name:   "fixed",
		Help:   "the bundle's rows without lost and drained regions",
		Target: fixedTarget,
	})
}

// RegisterPlanner adds a planner to the registry. It must only be called from init functions.
func RegisterPlanner(p Planner) {
	if _, taken := planners[p.Name]; taken {
		panic(fmt.Sprintf("region: planner %q registered twice", p.Name))
	}
	planners[p.Name] = p
}

// FindPlanner returns the planner registered under a name.
func FindPlanner(name string) (Planner, bool) {
	p, ok := planners[name]
	return p, ok
}

// PlannerNames returns the names of the registered planners in sorted order.
func PlannerNames() []string {
	names := make([]string, 0, len(planners))
	for name := range planners {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// fixedTarget redistributes the shares of unusable regions over the usable ones.
func fixedTarget(in PlannerInput) []Row {
	rows := make([]Row, len(in.Preferred))
	weights := capacityWeights(in)
	for home, preferred := range in.Preferred {
		rows[home] = excludeUnusable(preferred, in.Usable, weights)
	}
	return rows
}

// excludeUnusable returns the row with the shares of unusable regions distributed over the usable
// ones by weight. If no region is usable it returns the row unchanged.
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

// distribute adds an amount to a row in proportion to weights; the last region with a positive
// weight gets the rounding remainder. It returns false if no weight is positive and the amount is
// not zero.
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

// headroomTarget moves traffic that a region rejects to regions with free quota, and returns it to
// the regions that the bundle prefers once they reject almost nothing. It uses rejections rather
// than the utilization of this proxy's quota: quota is borrowed on demand, so it is always nearly
// used up.
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

// isOverloaded reports whether a region rejects more requests than random arrivals explain.
func isOverloaded(in PlannerInput, load []float64, i int) bool {
	return in.Rejected[i] > max(maxRejectionRatio*load[i], minRejectionRate)
}

// capacityWeights weights usable regions by their total capacity. This proxy's quota would not do:
// it is small and uneven in regions to which this proxy has sent no traffic yet.
func capacityWeights(in PlannerInput) []float64 {
	weights := make([]float64, len(in.Usable))
	for i := range weights {
		if in.Usable[i] {
			weights[i] = float64(in.Capacity[i])
		}
	}
	return weights
}

// offload moves the traffic that one region rejects to other regions as far as they have headroom,
// from each home region in proportion to the load that it sends to the overloaded one.
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

// returnTraffic moves a row one step towards the row that the bundle prefers, only into regions
// that reject almost nothing.
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
