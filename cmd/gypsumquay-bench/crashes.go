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
	// minThreshold and maxThreshold are the ends from which on work is refused in the
	// plays.
	minThreshold = 2
	maxThreshold = 6
)

type (
	crashesArguments struct {
		Loads []string `arg:"positional" help:"load files; those of the emulator in which servers end if left out"`
		Seeds int      `default:"3" help:"plays of each load"`
		Out   string   `help:"directory for charts; none if left out"`
	}

	// crashesRow is what a number of ends that condemn work costs.
	crashesRow struct {
		threshold int
		// serversLost is how many servers each deadly work ended, condemned how many sound
		// works were refused, share the part answered within the target.
		serversLost, falselyQuarantined, rejected, inTarget float64
	}
)

// run plays loads in which servers end against the number of ends that condemn work: a
// small one refuses sound work, a large one loses servers.
func (a *crashesArguments) run() error {
	files := a.Loads
	if len(files) == 0 {
		for _, name := range []string{"deadly", "deadly-flood", "storm", "storm-rare"} {
			files = append(files, filepath.Join("internal/fake/warmnet/testdata", name+".json"))
		}
	}
	fmt.Printf("%-14s %8s %14s %16s %14s %10s\n", "LOAD", "ENDS", "SERVERS/WORK", "SOUND CONDEMNED", "SOUND REFUSED", "IN TARGET")
	for _, file := range files {
		load, err := warmnet.ReadLoad(file)
		if err != nil {
			return err
		}
		name := strings.TrimSuffix(filepath.Base(file), ".json")
		var rows []crashesRow
		for threshold := minThreshold; threshold <= maxThreshold; threshold++ {
			rows = append(rows, a.measureThreshold(load, threshold))
		}
		disabled := load
		disabled.Off = append(disabled.Off, steering.MechanismQuarantine)
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

func (a *crashesArguments) measureThreshold(load warmnet.Load, threshold int) crashesRow {
	load.EndsToCondemn = threshold
	r, n := crashesRow{threshold: threshold}, float64(a.Seeds)
	for seed := range a.Seeds {
		outcome := warmnet.Play(load, steering.DefaultPlacer, uint64(seed)+1)
		r.serversLost += float64(outcome.Ends.ByWork) / float64(max(1, len(outcome.Ends.Deadly))) / n
		r.falselyQuarantined += float64(len(outcome.Ends.Sound)) / n
		r.rejected += float64(outcome.Ends.Refused) / n
		r.inTarget += outcome.Share() / n
	}
	return r
}

// writeChart writes a chart of both kinds of error over the number of ends that condemn.
func (a *crashesArguments) writeChart(name string, rows []crashesRow) error {
	p := plot.New()
	p.Title.Text = name + ": what the number of ends that condemn work costs"
	p.X.Label.Text = "ends"
	p.Y.Label.Text = "servers, works"
	var serversLost, falselyQuarantined plotter.XYs
	for _, r := range rows {
		serversLost = append(serversLost, plotter.XY{X: float64(r.threshold), Y: r.serversLost})
		falselyQuarantined = append(falselyQuarantined, plotter.XY{X: float64(r.threshold), Y: r.falselyQuarantined})
	}
	if err := plotutil.AddLinePoints(p, "servers lost to each deadly work", serversLost, "sound works condemned", falselyQuarantined); err != nil {
		return errors.Wrap(err, "chart")
	}
	p.Legend.Top = true
	return errs.Wrap(p.Save(chartWidth, chartHeight, filepath.Join(a.Out, name+"-ends.png")), "save chart")
}
