package workload

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WritePlot writes a PNG file that shows the earned value of each policy by load, as the mean
// over the seeds.
func WritePlot(results []Result, file string) error {
	const width, height = 8 * vg.Inch, 5 * vg.Inch
	p := plot.New()
	p.Title.Text = "worth by load"
	p.X.Label.Text = "load"
	p.Y.Label.Text = "fraction of the maximum value earned"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	points := make(map[string]plotter.XYs)
	var policies []string
	for _, result := range MeanResults(results) {
		if points[result.Policy] == nil {
			policies = append(policies, result.Policy)
		}
		points[result.Policy] = append(points[result.Policy], plotter.XY{X: result.Load, Y: result.ValueRatio})
	}
	var lines []any
	for _, name := range policies {
		lines = append(lines, name, points[name])
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("draw the plot: %w", err)
	}
	if err := p.Save(width, height, file); err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	return nil
}
