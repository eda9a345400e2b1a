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
	boundName = "all-seeing"
)

type (
	benchArguments struct {
		Examples  string        `default:"examples"`
		Out       string        `default:"out"`
		Span      time.Duration `default:"10s"`
		Warm      time.Duration `default:"30s"`
		Parallel  int           `default:"7"`
		Seed      uint64        `default:"1"`
		Loads     []int         `help:"percent of all slots; 50 80 95 120 if left out"`
		Balancers []string      `help:"balancers to compare; all if left out"`
		Repeats   int           `default:"10" help:"runs for the median and worst of drains and stops"`
		Only      string        `help:"one deployment only"`
	}

	// results is the file of figures.
	results struct {
		Latency []row      `json:"latency"`
		Events  []eventRow `json:"events"`
	}

	// row is one measured run.
	row struct {
		Deployment string  `json:"deployment"`
		Load       int     `json:"load-percent"`
		Balancer   string  `json:"balancer"`
		P50        float64 `json:"p50-ms"`
		P99        float64 `json:"p99-ms"`
		P999       float64 `json:"p99.9-ms"`
		Ratio      float64 `json:"p99-to-bound"`
		Goodput    float64 `json:"goodput-to-bound"`
		Done       int     `json:"done"`
		Refused    int     `json:"refused"`
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
	var rows []row
	var events []eventRow
	for _, d := range simnet.Deployments() {
		if a.Only != "" && d.Name != a.Only {
			continue
		}
		c, err := loadConfig(a.Examples, d)
		if err != nil {
			return err
		}
		rows = append(rows, a.deployment(d.Name, c)...)
		events = append(events, a.events(d.Name, c))
	}
	printRows(rows)
	printEvents(events)
	if err := a.write(results{Latency: rows, Events: events}); err != nil {
		return err
	}
	return a.draw(rows)
}

// deployment measures all loads and balancers of one installation.
func (a *benchArguments) deployment(name string, c simnet.Config) []row {
	var mu sync.Mutex
	var rows []row
	limit := semaphore.NewWeighted(int64(a.Parallel))
	var group sync.WaitGroup
	measure := func(f func() row) {
		group.Go(func() {
			_ = limit.Acquire(background, 1)
			defer limit.Release(1)
			r := f()
			r.Deployment = name
			mu.Lock()
			defer mu.Unlock()
			rows = append(rows, r)
		})
	}
	for _, load := range a.Loads {
		run := c
		run.Seed = a.Seed
		run.WarmUp = a.Warm
		run.Load = slotLoad(c, load)
		measure(func() row { return a.bound(run, load) })
		for _, balancer := range a.Balancers {
			measure(func() row { return a.balancer(run, load, balancer) })
		}
	}
	group.Wait()
	return compare(rows)
}

// slotLoad is a share of what all slots of each region can do.
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

func (a *benchArguments) bound(c simnet.Config, load int) row {
	b := simnet.RunIdealScheduler(c, a.Span)
	return row{
		Load: load, Balancer: boundName, Done: len(b.Latencies), Refused: b.Rejected,
		P50: millis(b.Quantile(0.5)), P99: millis(b.Quantile(0.99)), P999: millis(b.Quantile(0.999)),
	}
}

func (a *benchArguments) balancer(c simnet.Config, load int, name string) row {
	b := *c.Bundle
	b.Balancer = name
	c.Bundle = &b
	s := simnet.New(c)
	s.Run(c.WarmUp)
	sheds := s.Checks().ShedRequests()
	s.Run(a.Span)
	callers := s.Callers()
	return row{
		Load: load, Balancer: name, Done: len(callers.Latencies),
		Refused: callers.Outcomes[caller.OutcomeNotRun], Unknown: callers.Outcomes[caller.OutcomeUnknown],
		Sheds: s.Checks().ShedRequests() - sheds, Used: s.Checks().PeakUtilization,
		P50: millis(callers.Quantile(0.5)), P99: millis(callers.Quantile(0.99)), P999: millis(callers.Quantile(0.999)),
	}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// compare fills in the ratios to the bound of the same load.
func compare(rows []row) []row {
	slices.SortFunc(rows, func(a, b row) int {
		if a.Load != b.Load {
			return a.Load - b.Load
		}
		return strings.Compare(a.Balancer, b.Balancer)
	})
	for i := range rows {
		for _, b := range rows {
			if b.Balancer == boundName && b.Load == rows[i].Load {
				rows[i].Ratio = rows[i].P99 / b.P99
				rows[i].Goodput = float64(rows[i].Done) / float64(b.Done)
			}
		}
	}
	return rows
}

func printRows(rows []row) {
	fmt.Printf("%-10s %5s %-16s %8s %8s %8s %7s %8s %7s %7s %6s %6s\n",
		"DEPLOYMENT", "LOAD", "BALANCER", "P50", "P99", "P99.9", "/BOUND", "GOODPUT", "DONE", "REFUSED", "SHEDS", "USED")
	for _, r := range rows {
		fmt.Printf("%-10s %4d%% %-16s %8.2f %8.2f %8.2f %7.2f %8.3f %7d %7d %6d %6.3f\n",
			r.Deployment, r.Load, r.Balancer, r.P50, r.P99, r.P999, r.Ratio, r.Goodput, r.Done, r.Refused, r.Sheds, r.Used)
	}
}

func (a *benchArguments) write(r results) error {
	if err := os.MkdirAll(a.Out, 0o755); err != nil {
		return errors.Wrap(err, "output directory")
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	if err := os.WriteFile(filepath.Join(a.Out, "bench.json"), append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write figures")
	}
	return nil
}
