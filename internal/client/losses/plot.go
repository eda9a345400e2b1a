package losses

import (
	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot draws the losses per second with one line per kind. The file name extension selects the
// image format.
func (t Table) Plot(path string) error {
	if len(t.Seconds) == 0 {
		return errors.New("no requests were lost; nothing to plot")
	}
	p := plot.New()
	p.Title.Text = "requests lost"
	p.X.Label.Text = "seconds from " + t.Seconds[0].At.Format("15:04:05")
	p.Y.Label.Text = "requests per second"
	var lines []any
	for _, kind := range []Kind{Late, Rejected, Failed, Abandoned} {
		lines = append(lines, string(kind), t.points(kind))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "plot")
	}
	p.Legend.Top = true
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return errors.Wrap(err, "save plot")
	}
	return nil
}

// points returns the counts of a kind, with zeros for seconds without losses.
func (t Table) points(kind Kind) plotter.XYs {
	first, last := t.Seconds[0].At, t.Seconds[len(t.Seconds)-1].At
	points := make(plotter.XYs, int(last.Sub(first).Seconds())+1)
	for i := range points {
		points[i].X = float64(i)
	}
	for _, s := range t.Seconds {
		points[int(s.At.Sub(first).Seconds())].Y = float64(s.Counts[kind])
	}
	return points
}
