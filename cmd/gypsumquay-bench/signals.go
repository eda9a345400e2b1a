package main

import (
	"fmt"

	"github.com/gypsumquay/gypsumquay/internal/fake/warmnet"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

type (
	signalsArguments struct {
		Load    string    `arg:"positional" default:"internal/fake/warmnet/testdata/limited.json" help:"load file in which servers signal limits"`
		Proxies []int     `help:"numbers of proxies per region [default: 3 25 100 433]"`
		Limits  []float64 `help:"limits that servers signal, in requests per second [default: 0.5 6.6 50]"`
		Times   float64   `default:"1" help:"factor on the request rates of the load"`
		Seeds   int       `default:"2" help:"runs of each combination"`
	}
)

// run simulates fleets of several sizes with servers that signal limits, and prints the use of the
// limit, whether the fleet exceeds it, and the results for callers.
func (a *signalsArguments) run() error {
	load, err := warmnet.ReadScenario(a.Load)
	if err != nil {
		return err
	}
	if len(a.Proxies) == 0 {
		a.Proxies = []int{3, 25, 100, 433}
	}
	if len(a.Limits) == 0 {
		a.Limits = []float64{0.5, 6.6, 50}
	}
	for i := range load.Regions {
		load.Regions[i].PerSecond *= a.Times
	}
	fmt.Printf("%8s %8s %12s %8s %8s %10s %8s %14s\n", "PROXIES", "LIMIT/S", "OF ALLOWED", "IN USE", "AFTER", "IN TARGET", "REFUSED", "REPORTS/PROXY/S")
	for _, limit := range a.Limits {
		for _, proxies := range a.Proxies {
			a.measureFleet(load, limit, proxies)
		}
	}
	return nil
}

func (a *signalsArguments) measureFleet(load warmnet.Scenario, limit float64, proxies int) {
	load.ProxiesPerRegion = proxies
	load.RateLimits = append([]warmnet.RateLimit(nil), load.RateLimits...)
	for i := range load.RateLimits {
		load.RateLimits[i].PerSecond = limit
	}
	var maxUse, use, after, share, rejected, reports float64
	n, totalProxies := float64(a.Seeds), float64(proxies*len(load.Regions))
	for seed := range a.Seeds {
		outcome := warmnet.Simulate(load, steering.DefaultPlacer, uint64(seed)+1)
		maxUse = max(maxUse, outcome.RateLimits.MaxUtilization)
		use += outcome.RateLimits.MeanUtilization / n
		after += outcome.RateLimits.RecoveredRate / n
		share += outcome.ShareWithinTarget() / n
		rejected += float64(outcome.Rejected) / float64(max(1, outcome.Sent)) / n
		reports += float64(outcome.RateLimits.Reports) / totalProxies / load.Duration.Std().Seconds() / n
	}
	fmt.Printf("%8.0f %8.1f %12.2f %8.2f %8.2f %10.3f %8.4f %14.2f\n", totalProxies, limit, maxUse, use, after, share, rejected, reports)
}
