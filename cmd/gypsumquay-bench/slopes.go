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
	targetSites   = 210
	targetNodes   = 1300
	targetRegions = 22
	bytesPerMega  = 1 << 20
	restSpan      = 20 * time.Second
	settleSpan    = 40 * time.Second
	drainsPerRun  = 10
)

type (
	slopesArguments struct {
		Proxies []int `help:"fleet sizes; 10 50 100 200 if left out"`
	}

	// fleetRow is one fleet size's measured costs, each per node.
	fleetRow struct {
		nodes, regions   int
		restBytes        float64
		restMessages     float64
		changeBytes      float64
		changeCPU        float64
		restCPU          float64
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
	prefixSlopes()
	if err := fleetSlopes(a.Proxies); err != nil {
		return err
	}
	planSlopes()
	return nil
}

// prefixSlopes measures the table of client prefixes at several sizes.
func prefixSlopes() {
	fmt.Printf("%-10s %10s %10s %10s %12s %10s %8s\n", "PREFIXES", "RANGES", "MEMORY", "B/PREFIX", "BUILD", "LOOK-UP", "ALLOCS")
	var xs, ys []float64
	for _, n := range []int{10_000, 100_000, 940_000} {
		list := randomPrefixes(n)
		began := time.Now()
		table := caller.NewPrefixTable(list)
		built := time.Since(began)
		addresses := make([]netip.Addr, 4096)
		for i := range addresses {
			addresses[i] = list[rand.IntN(len(list))].Prefix.Addr()
		}
		at := 0
		result := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Lookup(addresses[at&4095])
				at++
			}
		})
		fmt.Printf("%-10d %10d %8.2f MB %10.1f %9.0f ms %7d ns %8d\n", n, table.RangeCount(), float64(table.MemoryBytes())/bytesPerMega,
			float64(table.MemoryBytes())/float64(n), built.Seconds()*1000, result.NsPerOp(), result.AllocsPerOp())
		xs = append(xs, float64(n))
		ys = append(ys, float64(table.MemoryBytes()))
	}
	slope, intercept, deviation := fit(xs, ys)
	fmt.Printf("fit: %.0f bytes + %.2f bytes a prefix, error %.1f%%\n\n", intercept, slope, 100*deviation)
}

// randomPrefixes makes client prefixes as a routing table has them: mostly of
// 20 to 24 bits, some nested in others.
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

// fleetSlopes measures control traffic and processor time at several sizes.
func fleetSlopes(sizes []int) error {
	fmt.Printf("%-6s %7s %9s %8s %10s %9s %9s %9s %9s %9s %11s %9s %9s\n", "NODES", "REGIONS", "REST B/S", "MSG/S",
		"B/CHANGE", "US/CHANGE", "CPU", "KB/NODE", "CALLS/S", "IN FORCE", "RELAY DEAD", "BUNDLE", "ASSIGN")
	var rows []fleetRow
	for _, n := range sizes {
		row, err := fleet(n)
		if err != nil {
			return err
		}
		rows = append(rows, row)
		fmt.Printf("%-6d %7d %9.0f %8.2f %10.0f %9.0f %8.3f%% %9.0f %9.2f %8.2fs %10.2fs %9d %9d\n", row.nodes, row.regions, row.restBytes,
			row.restMessages, row.changeBytes, 1e6*row.changeCPU, 100*row.restCPU, row.memory/1024, row.platformCalls, row.inForce.Seconds(),
			row.inForceRelayDead.Seconds(), row.bundleBytes, row.assignmentBytes)
	}
	linear := func(n float64) float64 { return n }
	logarithm := math.Log2
	root := math.Sqrt
	report(rows, "bytes/s at rest", "n", linear, func(r fleetRow) float64 { return r.restBytes })
	report(rows, "bytes a change", "log2 n", logarithm, func(r fleetRow) float64 { return r.changeBytes })
	report(rows, "seconds a change", "n", linear, func(r fleetRow) float64 { return r.changeCPU })
	report(rows, "share of a core", "n", linear, func(r fleetRow) float64 { return r.restCPU })
	report(rows, "bytes of memory", "n", linear, func(r fleetRow) float64 { return r.memory })
	report(rows, "platform calls/s", "root n", root, func(r fleetRow) float64 { return r.platformCalls })
	report(rows, "seconds until in force", "log2 n", logarithm, func(r fleetRow) float64 { return r.inForce.Seconds() })
	report(rows, "assignment bytes", "n", linear, func(r fleetRow) float64 { return float64(r.assignmentBytes) })
	fmt.Println()
	return nil
}

// report prints the fit of a cost over a function of the fleet's size, the
// exponent of its growth, and what the fit gives at the target and at twice it.
func report(rows []fleetRow, name, unit string, of func(float64) float64, value func(fleetRow) float64) {
	var xs, ys, lx, ly []float64
	for _, r := range rows {
		xs = append(xs, of(float64(r.nodes)))
		ys = append(ys, value(r))
		lx = append(lx, math.Log(float64(r.nodes)))
		ly = append(ly, math.Log(max(value(r), 1e-9)))
	}
	slope, intercept, deviation := fit(xs, ys)
	exponent, _, _ := fit(lx, ly)
	fmt.Printf("fit %-22s %.4g + %.4g x %s, error %.1f%%; exponent %.2f; at %d nodes %.4g, at %d %.4g\n", name, intercept, slope, unit,
		100*deviation, exponent, targetNodes, intercept+slope*of(targetNodes), 2*targetNodes, intercept+slope*of(2*targetNodes))
}

// regionsFor grows regions like the target's: 22 for 1,300 nodes, 3 for 10.
func regionsFor(nodes int) int {
	exponent := math.Log(float64(targetRegions)/3) / math.Log(targetNodes/10.0)
	return max(3, int(math.Round(3*math.Pow(float64(nodes)/10, exponent))))
}

func fleet(n int) (fleetRow, error) {
	row := fleetRow{nodes: n, regions: regionsFor(n)}
	b := simnet.SyntheticBundle(n, row.regions)
	author, err := operator.NewKeyPair("anna")
	if err != nil {
		return row, err
	}
	second, err := operator.NewKeyPair("bruno")
	if err != nil {
		return row, err
	}
	c := simnet.Deployments()[0].Config(b, author, second)
	c.Proxies = n
	c.Seed = 1
	c.Load = make([]float64, row.regions)
	bytes, messages := 0, 0
	c.OnExchange = func(asked, answer peer.Exchange) {
		bytes += 2 * (peerdrpc.ExchangeBytes(asked) + peerdrpc.ExchangeBytes(answer))
		messages += 4
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := simnet.New(c)
	s.Run(settleSpan)
	runtime.GC()
	runtime.ReadMemStats(&after)
	row.memory = float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
	nodes := float64(n)
	seconds := restSpan.Seconds()

	bytes, messages = 0, 0
	calls := s.PlatformCalls()
	used := s.KernelTime
	s.Run(restSpan)
	row.restCPU = (s.KernelTime - used).Seconds() / nodes / seconds
	row.restBytes = float64(bytes) / nodes / seconds
	row.restMessages = float64(messages) / nodes / seconds
	// A waiting watch counts as a call each time that it is renewed; the run
	// counts those that fire, so the renewals at rest are added by hand.
	row.platformCalls = float64(s.PlatformCalls()-calls)/seconds + float64(s.Relays()*watchesPerRelay)/watchSeconds

	bytes = 0
	used = s.KernelTime
	for range drainsPerRun {
		s.Inject(simnet.Fault{Kind: "steer", Target: "region-0", SecondTarget: "region-1", Amount: rand.IntN(500)})
		s.Run(restSpan / drainsPerRun)
	}
	row.changeBytes = max(0, float64(bytes)/nodes-row.restBytes*seconds) / drainsPerRun
	row.changeCPU = max(0, (s.KernelTime-used).Seconds()/nodes-row.restCPU*seconds) / drainsPerRun
	row.inForce = worst(s.Checks().RolloutTimes)

	s.Inject(simnet.Fault{Kind: "steer", Target: "region-0", SecondTarget: "region-1", Amount: 7})
	s.KillProxy(s.FirstRelay())
	s.Run(restSpan)
	row.inForceRelayDead = s.Checks().RolloutTimes[len(s.Checks().RolloutTimes)-1]
	row.bundleBytes = len(s.Envelope())
	row.assignmentBytes = s.AssignmentBytes()
	return row, nil
}

const (
	watchesPerRelay = 3
	watchSeconds    = 30.0
)

func worst(list []time.Duration) time.Duration {
	most := time.Duration(0)
	for _, d := range list[1:] {
		most = max(most, d)
	}
	return most
}

// planSlopes measures one round of planning against the number of regions.
func planSlopes() {
	planner, _ := region.FindPlanner(region.DefaultPlanner)
	fmt.Printf("%-8s %12s\n", "REGIONS", "PLAN")
	var xs, ys []float64
	for _, n := range []int{3, 11, 22, 44} {
		in := region.PlannerInput{
			Usable: make([]bool, n), Demand: make([]float64, n), Capacity: make([]int, n),
			Quota: make([]int, n), Rejected: make([]float64, n),
		}
		movers := make([]*region.Shifter, n)
		for i := range n {
			in.Preferred = append(in.Preferred, region.SingleRegionRow(n, i))
			in.Current = append(in.Current, region.SingleRegionRow(n, i))
			in.Usable[i] = i > 0
			in.Demand[i], in.Capacity[i], in.Quota[i] = 100, 1000, 100
			movers[i] = region.NewShifter(in.Current[i])
		}
		lost := make([]bool, n)
		pace := region.ShiftLimit{Cap: 100, Interval: 10 * time.Second}
		now := time.Unix(0, 0)
		result := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				now = now.Add(time.Second)
				for i, row := range planner.Target(in) {
					movers[i].Advance(now, row, lost, pace, pace)
				}
			}
		})
		fmt.Printf("%-8d %9.1f us\n", n, float64(result.NsPerOp())/1000)
		xs = append(xs, float64(n*n))
		ys = append(ys, float64(result.NsPerOp()))
	}
	slope, intercept, deviation := fit(xs, ys)
	fmt.Printf("fit: %.0f ns + %.1f ns a pair of regions, error %.1f%%; twice a second\n", intercept, slope, 100*deviation)
}

// fit is the least-squares line, with the root mean square error as a share
// of the mean.
func fit(xs, ys []float64) (slope, intercept, deviation float64) {
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
