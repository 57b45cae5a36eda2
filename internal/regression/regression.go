// Package regression fits straight lines to results of benchmarks that run with several sizes.
package regression

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// A Series contains the values of one metric of one benchmark by size.
type Series struct {
	Name string // names of the benchmark and of the property that its sizes count
	Unit string
	X, Y []float64 // sizes and values
}

// minSizes is the minimum number of sizes to fit a line.
const minSizes = 3

// Fit returns the least-squares line through the points, and its coefficient of determination R², from
// 0 to 1.
func (s Series) Fit() (base, slope, r2 float64) {
	base, slope = stat.LinearRegression(s.X, s.Y, nil, false)
	return base, slope, stat.RSquared(s.X, s.Y, nil, base, slope)
}

var sizedBenchmark = regexp.MustCompile(`^(Benchmark\S*?)/(?:.*/)?([a-z]+)=(\d+)(?:-\d+)?$`)

// Read reads the output of go test -bench and returns the series of benchmarks whose names end in
// "key=number". It fails if a number is invalid, or if no benchmark has three sizes.
func Read(r io.Reader) ([]Series, error) {
	var series []Series
	indexByKey := make(map[string]int)
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 4 {
			continue
		}
		match := sizedBenchmark.FindStringSubmatch(fields[0])
		if match == nil {
			continue
		}
		size, err := strconv.ParseFloat(match[3], 64)
		if err != nil {
			return nil, fmt.Errorf("read the size in the benchmark name %s: %w", fields[0], err)
		}
		for i := 2; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, fmt.Errorf("read %q of %s (give the plain output of go test -bench): %w", fields[i], fields[0], err)
			}
			name := match[1] + " by " + match[2]
			key := name + " " + fields[i+1]
			index, ok := indexByKey[key]
			if !ok {
				index = len(series)
				indexByKey[key] = index
				series = append(series, Series{Name: name, Unit: fields[i+1]})
			}
			series[index].X = append(series[index].X, size)
			series[index].Y = append(series[index].Y, value)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read the benchmark results: %w", err)
	}
	return requireSizes(series)
}

// requireSizes returns the series with at least minSizes sizes. It fails if there are none.
func requireSizes(series []Series) ([]Series, error) {
	var kept []Series
	for _, candidate := range series {
		if len(candidate.X) >= minSizes {
			kept = append(kept, candidate)
		}
	}
	if len(kept) == 0 {
		return nil, errors.New("no benchmark has three sizes (pipe the output of go test -bench to standard input)")
	}
	return kept, nil
}

// Table returns the fitted lines as a Markdown table, with their values at one size.
func Table(series []Series, size float64) string {
	var table strings.Builder
	fmt.Fprintf(&table, "| benchmark | unit | sizes | base | slope | fit | at %g |\n|---|---|---|---|---|---|---|\n", size)
	for _, fitted := range series {
		base, slope, r2 := fitted.Fit()
		fmt.Fprintf(&table, "| %s | %s | %g to %g | %.4g | %.4g | %.3f | %.4g |\n",
			fitted.Name, fitted.Unit, fitted.X[0], fitted.X[len(fitted.X)-1], base, slope, r2, base+slope*size)
	}
	return table.String()
}

// Draw plots the times (ns/op) of all benchmarks and the fitted lines to a PNG file.
func Draw(series []Series, file string) error {
	const width, height = 8 * vg.Inch, 5 * vg.Inch
	figure := plot.New()
	figure.Title.Text = "time by size, with fitted lines"
	figure.X.Label.Text = "size"
	figure.Y.Label.Text = "ns/op"
	figure.Legend.Top, figure.Legend.Left = true, true
	var namesAndPoints []any
	for _, drawn := range series {
		if drawn.Unit != "ns/op" {
			continue
		}
		points := make(plotter.XYs, len(drawn.X))
		for i := range drawn.X {
			points[i] = plotter.XY{X: drawn.X[i], Y: drawn.Y[i]}
		}
		namesAndPoints = append(namesAndPoints, drawn.Name, points)
		base, slope, _ := drawn.Fit()
		figure.Add(plotter.NewFunction(func(x float64) float64 { return base + slope*x }))
	}
	if err := plotutil.AddLinePoints(figure, namesAndPoints...); err != nil {
		return fmt.Errorf("draw the benchmark results: %w", err)
	}
	if err := figure.Save(width, height, file); err != nil {
		return fmt.Errorf("write the plot to %s: %w", file, err)
	}
	return nil
}
