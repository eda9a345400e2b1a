package main

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"github.com/gypsumquay/gypsumquay/internal/fake/warmnet"
	"github.com/gypsumquay/gypsumquay/internal/kernel/errs"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// minThreshold and maxThreshold are the range of crash counts at which a request is quarantined
	// in the runs.
	minThreshold = 2
	maxThreshold = 6
)

type (
	crashesArguments struct {
		Loads []string `arg:"positional" help:"load files; default is the load files of the emulator with server crashes"`
		Seeds int      `default:"3" help:"runs of each load"`
		Out   string   `help:"directory for charts; no charts if omitted"`
	}

	// crashesRow is the cost of one quarantine threshold: the crash count at which a request is
	// quarantined.
	crashesRow struct {
		threshold int
		// serversLost is the mean number of servers that each crashing request took down,
		// falselyQuarantined the number of harmless requests that were quarantined, rejected how
		// often these were rejected, and inTarget the share of requests answered
		// within the target.
		serversLost, falselyQuarantined, rejected, inTarget float64
	}
)

// run simulates loads with server crashes at several quarantine thresholds: a low threshold rejects
// harmless requests, a high one loses more servers.
func (a *crashesArguments) run() error {
	files := a.Loads
	if len(files) == 0 {
		for _, name := range []string{"deadly", "deadly-flood", "storm", "storm-rare"} {
			files = append(files, filepath.Join("internal/fake/warmnet/testdata", name+".json"))
		}
	}
	fmt.Printf("%-14s %8s %14s %16s %14s %10s\n", "LOAD", "ENDS", "SERVERS/WORK", "SOUND CONDEMNED", "SOUND REFUSED", "IN TARGET")
	for _, file := range files {
		load, err := warmnet.ReadScenario(file)
		if err != nil {
			return err
		}
		name := strings.TrimSuffix(filepath.Base(file), ".json")
		var rows []crashesRow
		for threshold := minThreshold; threshold <= maxThreshold; threshold++ {
			rows = append(rows, a.measureThreshold(load, threshold))
		}
		disabled := load
		disabled.MechanismsOff = append(disabled.MechanismsOff, steering.MechanismQuarantine)
		rows = append(rows, a.measureThreshold(disabled, 0))
		for _, r := range rows {
			fmt.Printf("%-14s %8s %14.1f %16.1f %14.1f %10.3f\n", name, thresholdLabel(r.threshold), r.serversLost, r.falselyQuarantined, r.rejected, r.inTarget)
		}
		if a.Out != "" {
			if err := a.writeChart(name, rows[:len(rows)-1]); err != nil {
				return err
			}
		}
	}
	return nil
}

func thresholdLabel(threshold int) string {
	if threshold == 0 {
		return "off"
	}
	return fmt.Sprint(threshold)
}

func (a *crashesArguments) measureThreshold(load warmnet.Scenario, threshold int) crashesRow {
	load.QuarantineThreshold = threshold
	r, n := crashesRow{threshold: threshold}, float64(a.Seeds)
	for seed := range a.Seeds {
		outcome := warmnet.Simulate(load, steering.DefaultPlacer, uint64(seed)+1)
		r.serversLost += float64(outcome.Crashes.CausedByRequests) / float64(max(1, len(outcome.Crashes.ByCrashingRequest))) / n
		r.falselyQuarantined += float64(len(outcome.Crashes.HarmlessQuarantined)) / n
		r.rejected += float64(outcome.Crashes.HarmlessRejected) / n
		r.inTarget += outcome.ShareWithinTarget() / n
	}
	return r
}

// writeChart writes a chart of both kinds of error by quarantine threshold.
func (a *crashesArguments) writeChart(name string, rows []crashesRow) error {
	p := plot.New()
	p.Title.Text = name + ": cost of the quarantine threshold"
	p.X.Label.Text = "crashes until quarantine"
	p.Y.Label.Text = "number of servers or requests"
	var serversLost, falselyQuarantined plotter.XYs
	for _, r := range rows {
		serversLost = append(serversLost, plotter.XY{X: float64(r.threshold), Y: r.serversLost})
		falselyQuarantined = append(falselyQuarantined, plotter.XY{X: float64(r.threshold), Y: r.falselyQuarantined})
	}
	if err := plotutil.AddLinePoints(p, "servers lost per crashing request", serversLost, "harmless requests quarantined", falselyQuarantined); err != nil {
		return errors.Wrap(err, "plot chart")
	}
	p.Legend.Top = true
	return errs.Wrap(p.Save(chartWidth, chartHeight, filepath.Join(a.Out, name+"-ends.png")), "save chart")
}
