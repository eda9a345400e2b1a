package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/adapter/peerdrpc"
	"github.com/gypsumquay/gypsumquay/internal/fake/simnet"
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
	"github.com/gypsumquay/gypsumquay/internal/kernel/region"
)

const (
	// targetSites, targetNodes and targetRegions are the size of the fleet that capacity is planned
	// for.
	targetSites    = 210
	targetNodes    = 1300
	targetRegions  = 22
	bytesPerMiB    = 1 << 20
	idleDuration   = 20 * time.Second
	settleDuration = 40 * time.Second
	changesPerRun  = 10
)

type (
	slopesArguments struct {
		Proxies []int `help:"fleet sizes; default is 10 50 100 200"`
	}

	// fleetRow holds the costs measured at one fleet size. Traffic, processor time and memory are
	// per node.
	fleetRow struct {
		nodes, regions   int
		idleBytes        float64
		idleMessages     float64
		changeBytes      float64
		changeCPU        float64
		idleCPU          float64
		memory           float64
		platformCalls    float64
		inForce          time.Duration
		inForceRelayDead time.Duration
		bundleBytes      int
		assignmentBytes  int
	}
)

func (a *slopesArguments) run() error {
	if len(a.Proxies) == 0 {
		a.Proxies = []int{10, 50, 100, 200}
	}
	fmt.Printf("%s, %d processors, %s\n\n", time.Now().UTC().Format("2006-01-02"), runtime.NumCPU(), runtime.Version())
	measurePrefixTable()
	if err := measureFleets(a.Proxies); err != nil {
		return err
	}
	measurePlanner()
	return nil
}

// measurePrefixTable measures the memory and the lookup time of the client prefix table at several
// sizes.
func measurePrefixTable() {
	fmt.Printf("%-10s %10s %10s %10s %12s %10s %8s\n", "PREFIXES", "RANGES", "MEMORY", "B/PREFIX", "BUILD", "LOOK-UP", "ALLOCS")
	var xs, ys []float64
	for _, n := range []int{10_000, 100_000, 940_000} {
		list := randomPrefixes(n)
		start := time.Now()
		table := caller.NewPrefixTable(list)
		buildTime := time.Since(start)
		addresses := make([]netip.Addr, 4096)
		for i := range addresses {
			addresses[i] = list[rand.IntN(len(list))].Prefix.Addr()
		}
		next := 0
		result := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Lookup(addresses[next&4095])
				next++
			}
		})
		fmt.Printf("%-10d %10d %8.2f MB %10.1f %9.0f ms %7d ns %8d\n", n, table.RangeCount(), float64(table.MemoryBytes())/bytesPerMiB,
			float64(table.MemoryBytes())/float64(n), buildTime.Seconds()*1000, result.NsPerOp(), result.AllocsPerOp())
		xs = append(xs, float64(n))
		ys = append(ys, float64(table.MemoryBytes()))
	}
	slope, intercept, deviation := fitLine(xs, ys)
	fmt.Printf("fit: %.0f bytes + %.2f bytes a prefix, error %.1f%%\n\n", intercept, slope, 100*deviation)
}

// randomPrefixes generates client prefixes similar to those of a routing table: mostly 20 to 24
// bits long, some nested in others.
func randomPrefixes(n int) []caller.PrefixSite {
	r := rand.New(rand.NewPCG(1, uint64(n)))
	list := make([]caller.PrefixSite, n)
	for i := range list {
		bits := 24
		if r.IntN(3) == 0 {
			bits = 16 + r.IntN(8)
		}
		a := netip.AddrFrom4([4]byte{byte(1 + r.IntN(222)), byte(r.IntN(256)), byte(r.IntN(256)), 0})
		list[i] = caller.PrefixSite{Prefix: netip.PrefixFrom(a, bits).Masked(), Site: caller.Site(r.IntN(targetSites))}
	}
	return list
}

// measureFleets measures control traffic, processor time and memory at several fleet sizes.
func measureFleets(sizes []int) error {
	fmt.Printf("%-6s %7s %9s %8s %10s %9s %9s %9s %9s %9s %11s %9s %9s\n", "NODES", "REGIONS", "REST B/S", "MSG/S",
		"B/CHANGE", "US/CHANGE", "CPU", "KB/NODE", "CALLS/S", "IN FORCE", "RELAY DEAD", "BUNDLE", "ASSIGN")
	var rows []fleetRow
	for _, n := range sizes {
		row, err := measureFleet(n)
		if err != nil {
			return err
		}
		rows = append(rows, row)
		fmt.Printf("%-6d %7d %9.0f %8.2f %10.0f %9.0f %8.3f%% %9.0f %9.2f %8.2fs %10.2fs %9d %9d\n", row.nodes, row.regions, row.idleBytes,
			row.idleMessages, row.changeBytes, 1e6*row.changeCPU, 100*row.idleCPU, row.memory/1024, row.platformCalls, row.inForce.Seconds(),
			row.inForceRelayDead.Seconds(), row.bundleBytes, row.assignmentBytes)
	}
	linear := func(n float64) float64 { return n }
	logarithm := math.Log2
	root := math.Sqrt
	printFit(rows, "bytes/s at rest", "n", linear, func(r fleetRow) float64 { return r.idleBytes })
	printFit(rows, "bytes a change", "log2 n", logarithm, func(r fleetRow) float64 { return r.changeBytes })
	printFit(rows, "seconds a change", "n", linear, func(r fleetRow) float64 { return r.changeCPU })
	printFit(rows, "share of a core", "n", linear, func(r fleetRow) float64 { return r.idleCPU })
	printFit(rows, "bytes of memory", "n", linear, func(r fleetRow) float64 { return r.memory })
	printFit(rows, "platform calls/s", "root n", root, func(r fleetRow) float64 { return r.platformCalls })
	printFit(rows, "seconds until in force", "log2 n", logarithm, func(r fleetRow) float64 { return r.inForce.Seconds() })
	printFit(rows, "assignment bytes", "n", linear, func(r fleetRow) float64 { return float64(r.assignmentBytes) })
	fmt.Println()
	return nil
}

// printFit prints the linear fit of a cost over a function of the fleet size, the exponent of its
// growth, and the cost that the fit predicts at the target size and at twice the target size.
func printFit(rows []fleetRow, name, unit string, transform func(float64) float64, value func(fleetRow) float64) {
	var xs, ys, lx, ly []float64
	for _, r := range rows {
		xs = append(xs, transform(float64(r.nodes)))
		ys = append(ys, value(r))
		lx = append(lx, math.Log(float64(r.nodes)))
		ly = append(ly, math.Log(max(value(r), 1e-9)))
	}
	slope, intercept, deviation := fitLine(xs, ys)
	exponent, _, _ := fitLine(lx, ly)
	fmt.Printf("fit %-22s %.4g + %.4g x %s, error %.1f%%; exponent %.2f; at %d nodes %.4g, at %d %.4g\n", name, intercept, slope, unit,
		100*deviation, exponent, targetNodes, intercept+slope*transform(targetNodes), 2*targetNodes, intercept+slope*transform(2*targetNodes))
}

// regionsFor returns the number of regions for a fleet size, on a power law between 3 regions for
// 10 nodes and the target of 22 regions for 1,300 nodes.
func regionsFor(nodes int) int {
	exponent := math.Log(float64(targetRegions)/3) / math.Log(targetNodes/10.0)
	return max(3, int(math.Round(3*math.Pow(float64(nodes)/10, exponent))))
}

func measureFleet(n int) (fleetRow, error) {
	row := fleetRow{nodes: n, regions: regionsFor(n)}
	bundle := simnet.SyntheticBundle(n, row.regions)
	author, err := operator.NewKeyPair("anna")
	if err != nil {
		return row, err
	}
	approver, err := operator.NewKeyPair("bruno")
	if err != nil {
		return row, err
	}
	config := simnet.Deployments()[0].Config(bundle, author, approver)
	config.Proxies = n
	config.Seed = 1
	config.Load = make([]float64, row.regions)
	bytes, messages := 0, 0
	config.OnExchange = func(request, response peer.Exchange) {
		bytes += 2 * (peerdrpc.ExchangeSize(request) + peerdrpc.ExchangeSize(response))
		messages += 4
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	sim := simnet.New(config)
	sim.Run(settleDuration)
	runtime.GC()
	runtime.ReadMemStats(&after)
	row.memory = float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
	nodes := float64(n)
	seconds := idleDuration.Seconds()

	bytes, messages = 0, 0
	callsBefore := sim.PlatformCalls()
	cpuBefore := sim.KernelTime
	sim.Run(idleDuration)
	row.idleCPU = (sim.KernelTime - cpuBefore).Seconds() / nodes / seconds
	row.idleBytes = float64(bytes) / nodes / seconds
	row.idleMessages = float64(messages) / nodes / seconds
	// Each renewal of a pending watch is a platform call. The simulation counts only watches that
	// fire, so the renewals of an idle fleet are added here.
	row.platformCalls = float64(sim.PlatformCalls()-callsBefore)/seconds + float64(sim.Relays()*watchesPerRelay)/watchRenewalSeconds

	bytes = 0
	cpuBefore = sim.KernelTime
	for range changesPerRun {
		sim.Inject(simnet.Fault{Kind: "steer", Target: "region-0", SecondTarget: "region-1", Amount: rand.IntN(500)})
		sim.Run(idleDuration / changesPerRun)
	}
	row.changeBytes = max(0, float64(bytes)/nodes-row.idleBytes*seconds) / changesPerRun
	row.changeCPU = max(0, (sim.KernelTime-cpuBefore).Seconds()/nodes-row.idleCPU*seconds) / changesPerRun
	row.inForce = longest(sim.Checks().RolloutTimes)

	sim.Inject(simnet.Fault{Kind: "steer", Target: "region-0", SecondTarget: "region-1", Amount: 7})
	sim.KillProxy(sim.FirstRelay())
	sim.Run(idleDuration)
	row.inForceRelayDead = sim.Checks().RolloutTimes[len(sim.Checks().RolloutTimes)-1]
	row.bundleBytes = len(sim.Envelope())
	row.assignmentBytes = sim.AssignmentBytes()
	return row, nil
}

const (
	// Each relay keeps watchesPerRelay watches open at the platform and renews each of them every
	// watchRenewalSeconds.
	watchesPerRelay     = 3
	watchRenewalSeconds = 30.0
)

func longest(list []time.Duration) time.Duration {
	result := time.Duration(0)
	for _, d := range list[1:] {
		result = max(result, d)
	}
	return result
}

// measurePlanner measures the time of one planning round by number of regions.
func measurePlanner() {
	planner, _ := region.FindPlanner(region.DefaultPlanner)
	fmt.Printf("%-8s %12s\n", "REGIONS", "PLAN")
	var xs, ys []float64
	for _, n := range []int{3, 11, 22, 44} {
		in := region.PlannerInput{
			Usable: make([]bool, n), Demand: make([]float64, n), Capacity: make([]int, n),
			Quota: make([]int, n), Rejected: make([]float64, n),
		}
		shifters := make([]*region.Shifter, n)
		for i := range n {
			in.Preferred = append(in.Preferred, region.SingleRegionRow(n, i))
			in.Current = append(in.Current, region.SingleRegionRow(n, i))
			in.Usable[i] = i > 0
			in.Demand[i], in.Capacity[i], in.Quota[i] = 100, 1000, 100
			shifters[i] = region.NewShifter(in.Current[i])
		}
		lostRegions := make([]bool, n)
		limit := region.ShiftLimit{Cap: 100, Interval: 10 * time.Second}
		now := time.Unix(0, 0)
		result := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				now = now.Add(time.Second)
				for i, row := range planner.Target(in) {
					shifters[i].Advance(now, row, lostRegions, limit, limit)
				}
			}
		})
		fmt.Printf("%-8d %9.1f us\n", n, float64(result.NsPerOp())/1000)
		xs = append(xs, float64(n*n))
		ys = append(ys, float64(result.NsPerOp()))
	}
	slope, intercept, deviation := fitLine(xs, ys)
	fmt.Printf("fit: %.0f ns + %.1f ns a pair of regions, error %.1f%%; twice a second\n", intercept, slope, 100*deviation)
}

// fitLine returns the least-squares line and its root mean square error as a share of the mean.
func fitLine(xs, ys []float64) (slope, intercept, deviation float64) {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	intercept = (sy - slope*sx) / n
	sum := 0.0
	for i := range xs {
		e := ys[i] - intercept - slope*xs[i]
		sum += e * e
	}
	if sy != 0 {
		deviation = math.Sqrt(sum/n) / (math.Abs(sy) / n)
	}
	return slope, intercept, deviation
}
