package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/semaphore"

	"github.com/gypsumquay/gypsumquay/internal/fake/simnet"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
)

const (
	// boundBalancer names the rows of the ideal scheduler, the bound that balancers are compared
	// with.
	boundBalancer = "all-seeing"
)

type (
	benchArguments struct {
		Examples  string        `default:"examples"`
		Out       string        `default:"out"`
		Span      time.Duration `default:"10s"`
		Warm      time.Duration `default:"30s"`
		Parallel  int           `default:"7"`
		Seed      uint64        `default:"1"`
		Loads     []int         `help:"percent of all slots; default is 50 80 95 120"`
		Balancers []string      `help:"balancers to compare; default is all"`
		Repeats   int           `default:"10" help:"runs for the median and the maximum of drains and stops"`
		Only      string        `help:"run only this deployment"`
	}

	// results is the content of bench.json.
	results struct {
		Latency []latencyRow `json:"latency"`
		Events  []eventRow   `json:"events"`
	}

	// latencyRow is the result of one run.
	latencyRow struct {
		Deployment string  `json:"deployment"`
		Load       int     `json:"load-percent"`
		Balancer   string  `json:"balancer"`
		P50        float64 `json:"p50-ms"`
		P99        float64 `json:"p99-ms"`
		P999       float64 `json:"p99.9-ms"`
		Ratio      float64 `json:"p99-to-bound"`
		Goodput    float64 `json:"goodput-to-bound"`
		Done       int     `json:"done"`
		Rejected   int     `json:"refused"`
		Unknown    int     `json:"unknown"`
		Sheds      int     `json:"sheds"`
		Used       float64 `json:"largest-use-of-a-region"`
	}
)

func (a *benchArguments) run() error {
	if len(a.Loads) == 0 {
		a.Loads = []int{50, 80, 95, 120}
	}
	if len(a.Balancers) == 0 {
		a.Balancers = backend.Balancers()
	}
	var rows []latencyRow
	var events []eventRow
	for _, d := range simnet.Deployments() {
		if a.Only != "" && d.Name != a.Only {
			continue
		}
		c, err := loadConfig(a.Examples, d)
		if err != nil {
			return err
		}
		rows = append(rows, a.measureDeployment(d.Name, c)...)
		events = append(events, a.measureEvents(d.Name, c))
	}
	printRows(rows)
	printEvents(events)
	if err := a.write(results{Latency: rows, Events: events}); err != nil {
		return err
	}
	return a.writeCharts(rows)
}

// measureDeployment runs all combinations of loads and balancers for one deployment.
func (a *benchArguments) measureDeployment(name string, c simnet.Config) []latencyRow {
	var mu sync.Mutex
	var rows []latencyRow
	slots := semaphore.NewWeighted(int64(a.Parallel))
	var group sync.WaitGroup
	measure := func(f func() latencyRow) {
		group.Go(func() {
			_ = slots.Acquire(background, 1)
			defer slots.Release(1)
			r := f()
			r.Deployment = name
			mu.Lock()
			defer mu.Unlock()
			rows = append(rows, r)
		})
	}
	for _, load := range a.Loads {
		config := c
		config.Seed = a.Seed
		config.WarmUp = a.Warm
		config.Load = slotLoad(c, load)
		measure(func() latencyRow { return a.measureBound(config, load) })
		for _, balancer := range a.Balancers {
			measure(func() latencyRow { return a.measureBalancer(config, load, balancer) })
		}
	}
	group.Wait()
	return addBoundRatios(rows)
}

// slotLoad returns the request rate of each region that uses the given percentage of its slots.
func slotLoad(c simnet.Config, percent int) []float64 {
	load := make([]float64, len(c.Bundle.Regions))
	for _, s := range c.Bundle.Services {
		for _, server := range s.Servers {
			for i, r := range c.Bundle.Regions {
				if r.Name == server.Region {
					load[i] += float64(server.Slots) / c.ServiceTime.Seconds() * float64(percent) / 100
				}
			}
		}
	}
	return load
}

func (a *benchArguments) measureBound(c simnet.Config, load int) latencyRow {
	b := simnet.RunIdealScheduler(c, a.Span)
	return latencyRow{
		Load: load, Balancer: boundBalancer, Done: len(b.Latencies), Rejected: b.Rejected,
		P50: millis(b.Quantile(0.5)), P99: millis(b.Quantile(0.99)), P999: millis(b.Quantile(0.999)),
	}
}

func (a *benchArguments) measureBalancer(c simnet.Config, load int, name string) latencyRow {
	b := *c.Bundle
	b.Balancer = name
	c.Bundle = &b
	s := simnet.New(c)
	s.Run(c.WarmUp)
	sheds := s.Checks().ShedRequests()
	s.Run(a.Span)
	callers := s.Callers()
	return latencyRow{
		Load: load, Balancer: name, Done: len(callers.Latencies),
		Rejected: callers.Outcomes[caller.OutcomeNotRun], Unknown: callers.Outcomes[caller.OutcomeUnknown],
		Sheds: s.Checks().ShedRequests() - sheds, Used: s.Checks().PeakUtilization,
		P50: millis(callers.Quantile(0.5)), P99: millis(callers.Quantile(0.99)), P999: millis(callers.Quantile(0.999)),
	}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// addBoundRatios sets the ratios of latency and goodput to the bound at the same load.
func addBoundRatios(rows []latencyRow) []latencyRow {
	slices.SortFunc(rows, func(a, b latencyRow) int {
		if a.Load != b.Load {
			return a.Load - b.Load
		}
		return strings.Compare(a.Balancer, b.Balancer)
	})
	for i := range rows {
		for _, b := range rows {
			if b.Balancer == boundBalancer && b.Load == rows[i].Load {
				rows[i].Ratio = rows[i].P99 / b.P99
				rows[i].Goodput = float64(rows[i].Done) / float64(b.Done)
			}
		}
	}
	return rows
}

func printRows(rows []latencyRow) {
	fmt.Printf("%-10s %5s %-16s %8s %8s %8s %7s %8s %7s %7s %6s %6s\n",
		"DEPLOYMENT", "LOAD", "BALANCER", "P50", "P99", "P99.9", "/BOUND", "GOODPUT", "DONE", "REFUSED", "SHEDS", "USED")
	for _, r := range rows {
		fmt.Printf("%-10s %4d%% %-16s %8.2f %8.2f %8.2f %7.2f %8.3f %7d %7d %6d %6.3f\n",
			r.Deployment, r.Load, r.Balancer, r.P50, r.P99, r.P999, r.Ratio, r.Goodput, r.Done, r.Rejected, r.Sheds, r.Used)
	}
}

func (a *benchArguments) write(r results) error {
	if err := os.MkdirAll(a.Out, 0o755); err != nil {
		return errors.Wrap(err, "create output directory")
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	if err := os.WriteFile(filepath.Join(a.Out, "bench.json"), append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write results")
	}
	return nil
}
