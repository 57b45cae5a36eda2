package workload

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Draw writes the worth of each policy over the load, as the mean of its seeds, to a
// PNG file.
func WritePlot(list []Result, file string) error {
	const width, height = 8 * vg.Inch, 5 * vg.Inch
	p := plot.New()
	p.Title.Text = "worth by load"
	p.X.Label.Text = "load"
	p.Y.Label.Text = "earned, of what is owed"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	points := make(map[string]plotter.XYs)
	var order []string
	for _, r := range MeanResults(list) {
		if points[r.Policy] == nil {
			order = append(order, r.Policy)
		}
		points[r.Policy] = append(points[r.Policy], plotter.XY{X: r.Load, Y: r.ValueRatio})
	}
	var lines []any
	for _, name := range order {
		lines = append(lines, name, points[name])
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("draw: %w", err)
	}
	if err := p.Save(width, height, file); err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	return nil
}
