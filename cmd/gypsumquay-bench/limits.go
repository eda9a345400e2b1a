package main

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"github.com/gypsumquay/gypsumquay/internal/fake/limitnet"
	"github.com/gypsumquay/gypsumquay/internal/kernel/errs"
)

type (
	limitsArguments struct {
		Proxies  []int     `help:"numbers of proxies [default: 10 77 300]"`
		Accounts []int     `help:"numbers of accounts [default: 81 1000]"`
		Skew     []float64 `help:"skew of the request rates of accounts [default: 0.7 1.2]"`
		Seconds  int       `default:"10" help:"simulated seconds of each run"`
		Out      string    `help:"directory for a chart; no chart if omitted"`
	}

	// limitsRow is the result of one run.
	limitsRow struct {
		load    limitnet.Scenario
		method  limitnet.Strategy
		outcome limitnet.Result
	}
)

const (
	// ratePerProxy is the request rate of the callers, in requests per second, for each proxy.
	ratePerProxy = 26
	// clientsPerProxy is the number of callers for each proxy.
	clientsPerProxy = 13
	// proxiesPerRegion is the approximate number of proxies per region in a large fleet.
	proxiesPerRegion = 60
	minRegions       = 3
	// limitFactor is the ratio of an account's limit to its request rate.
	limitFactor = 1.6
)

// run simulates fleets of several sizes with each method of enforcing limits.
func (a *limitsArguments) run() error {
	a.setDefaults()
	fmt.Printf("%8s %9s %5s %-6s %12s %12s %8s %8s %10s %7s\n", "PROXIES", "ACCOUNTS", "SKEW", "WAY", "REFUSED 1ST", "FOR GOOD", "EXCESS", "BROKEN", "REPORTS/S", "ASKS/S")
	var rows []limitsRow
	for _, accounts := range a.Accounts {
		for _, skew := range a.Skew {
			for _, proxies := range a.Proxies {
				rows = append(rows, a.measureFleet(proxies, accounts, skew)...)
			}
		}
	}
	if a.Out == "" {
		return nil
	}
	return a.writeChart(rows)
}

func (a *limitsArguments) setDefaults() {
	if len(a.Proxies) == 0 {
		a.Proxies = []int{10, 77, 300}
	}
	if len(a.Accounts) == 0 {
		a.Accounts = []int{81, 1000}
	}
	if len(a.Skew) == 0 {
		a.Skew = []float64{0.7, 1.2}
	}
}

func (a *limitsArguments) measureFleet(proxies, accounts int, skew float64) []limitsRow {
	load := limitnet.Scenario{
		Regions: max(minRegions, proxies/proxiesPerRegion), Proxies: proxies, Accounts: accounts, Skew: skew,
		Rate: float64(ratePerProxy * proxies), Clients: clientsPerProxy * proxies, Headroom: limitFactor,
		For: time.Duration(a.Seconds) * time.Second,
	}
	var rows []limitsRow
	for _, method := range []limitnet.Strategy{limitnet.RegionalPools, limitnet.CentralPool, limitnet.EqualShares} {
		outcome := limitnet.Simulate(load, method, 1)
		fmt.Printf("%8d %9d %5.1f %-6s %12.4f %12.4f %8.2f %8.2f %10.1f %7.1f\n", proxies, accounts, skew, method,
			outcome.InitiallyRejectedShare(), outcome.RejectedShare(), outcome.MaxExcess, outcome.MaxViolation, outcome.ReportRate, outcome.TokenRequestRate)
		rows = append(rows, limitsRow{load: load, method: method, outcome: outcome})
	}
	return rows
}

// writeChart writes a chart of the share of requests that are finally rejected by number of
// proxies.
func (a *limitsArguments) writeChart(rows []limitsRow) error {
	p := plot.New()
	p.Title.Text = "requests within the limit that are finally rejected"
	p.X.Label.Text = "proxies"
	p.Y.Label.Text = "share of requests"
	lines := make(map[string]plotter.XYs)
	var names []string
	for _, r := range rows {
		name := fmt.Sprintf("%s, %d accounts, skew %.1f", r.method, r.load.Accounts, r.load.Skew)
		if lines[name] == nil {
			names = append(names, name)
		}
		lines[name] = append(lines[name], plotter.XY{X: float64(r.load.Proxies), Y: r.outcome.RejectedShare()})
	}
	var series []any
	for _, name := range names {
		series = append(series, name, lines[name])
	}
	if err := plotutil.AddLinePoints(p, series...); err != nil {
		return errors.Wrap(err, "plot chart")
	}
	p.Legend.Top = true
	return errs.Wrap(p.Save(chartWidth, chartHeight, filepath.Join(a.Out, "limits.png")), "save chart")
}
