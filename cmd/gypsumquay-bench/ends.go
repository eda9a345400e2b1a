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
	// thresholdLeast and thresholdMost are the ends from which on work is refused in the
	// plays.
	thresholdLeast = 2
	thresholdMost  = 6
)

type (
	endsArguments struct {
		Loads []string `arg:"positional" help:"load files; those of the emulator in which servers end if left out"`
		Seeds int      `default:"3" help:"plays of each load"`
		Out   string   `help:"directory for charts; none if left out"`
	}

	// endsRow is what a number of ends that condemn work costs.
	endsRow struct {
		threshold int
		// lost is how many servers each deadly work ended, condemned how many sound
		// works were refused, share the part answered within the target.
		lost, condemned, refused, share float64
	}
)

// run plays loads in which servers end against the number of ends that condemn work: a
// small one refuses sound work, a large one loses servers.
func (a *endsArguments) run() error {
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
		var rows []endsRow
		for threshold := thresholdLeast; threshold <= thresholdMost; threshold++ {
			rows = append(rows, a.row(load, threshold))
		}
		without := load
		without.MechanismsOff = append(without.MechanismsOff, steering.MechanismQuarantine)
		rows = append(rows, a.row(without, 0))
		for _, r := range rows {
			fmt.Printf("%-14s %8s %14.1f %16.1f %14.1f %10.3f\n", name, endsName(r.threshold), r.lost, r.condemned, r.refused, r.share)
		}
		if a.Out != "" {
			if err := a.draw(name, rows[:len(rows)-1]); err != nil {
				return err
			}
		}
	}
	return nil
}

func endsName(threshold int) string {
	if threshold == 0 {
		return "off"
	}
	return fmt.Sprint(threshold)
}

func (a *endsArguments) row(load warmnet.Scenario, threshold int) endsRow {
	load.QuarantineThreshold = threshold
	r, n := endsRow{threshold: threshold}, float64(a.Seeds)
	for seed := range a.Seeds {
		o := warmnet.Simulate(load, steering.DefaultPlacer, uint64(seed)+1)
		r.lost += float64(o.Crashes.CausedByRequests) / float64(max(1, len(o.Crashes.ByCrashingRequest))) / n
		r.condemned += float64(len(o.Crashes.HarmlessQuarantined)) / n
		r.refused += float64(o.Crashes.HarmlessRefused) / n
		r.share += o.ShareWithinTarget() / n
	}
	return r
}

// draw writes a chart of both kinds of error over the number of ends that condemn.
func (a *endsArguments) draw(name string, rows []endsRow) error {
	p := plot.New()
	p.Title.Text = name + ": what the number of ends that condemn work costs"
	p.X.Label.Text = "ends"
	p.Y.Label.Text = "servers, works"
	var lost, condemned plotter.XYs
	for _, r := range rows {
		lost = append(lost, plotter.XY{X: float64(r.threshold), Y: r.lost})
		condemned = append(condemned, plotter.XY{X: float64(r.threshold), Y: r.condemned})
	}
	if err := plotutil.AddLinePoints(p, "servers lost to each deadly work", lost, "sound works condemned", condemned); err != nil {
		return errors.Wrap(err, "chart")
	}
	p.Legend.Top = true
	return errs.Wrap(p.Save(chartWidth, chartHeight, filepath.Join(a.Out, name+"-ends.png")), "save chart")
}
