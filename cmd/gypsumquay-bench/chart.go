package main

import (
	"path/filepath"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	chartWidth  = 6 * vg.Inch
	chartHeight = 4 * vg.Inch
	// maxChartLoad is the highest load, in percent, that charts include. Above it the bound's
	// queues are full and its latency is meaningless.
	maxChartLoad = 100
)

// writeCharts writes one chart per deployment: p99 latency by load, one line per balancer.
func (a *benchArguments) writeCharts(rows []latencyRow) error {
	charts := make(map[string]*plot.Plot)
	lines := make(map[string]map[string]plotter.XYs)
	for _, r := range rows {
		if r.Load > maxChartLoad {
			continue
		}
		if charts[r.Deployment] == nil {
			p := plot.New()
			p.Title.Text = r.Deployment + ": p99 by load"
			p.X.Label.Text = "load, % of all slots"
			p.Y.Label.Text = "p99, ms"
			charts[r.Deployment] = p
			lines[r.Deployment] = make(map[string]plotter.XYs)
		}
		point := plotter.XY{X: float64(r.Load), Y: r.P99}
		lines[r.Deployment][r.Balancer] = append(lines[r.Deployment][r.Balancer], point)
	}
	for name, p := range charts {
		var series []any
		for _, balancer := range append([]string{boundBalancer}, a.Balancers...) {
			series = append(series, balancer, lines[name][balancer])
		}
		if err := plotutil.AddLinePoints(p, series...); err != nil {
			return errors.Wrap(err, "plot chart")
		}
		p.Legend.Top = true
		p.Legend.Left = true
		if err := p.Save(chartWidth, chartHeight, filepath.Join(a.Out, name+"-p99.png")); err != nil {
			return errors.Wrap(err, "save chart")
		}
	}
	return nil
}
