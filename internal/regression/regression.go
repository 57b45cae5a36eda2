// Package regression fits straight lines to benchmark results over several sizes.
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

// A Series is one metric of one benchmark over sizes.
type Series struct {
	Name string // of the benchmark and of what its sizes count
	Unit string
	X, Y []float64
}

// leastSizes is how many sizes a slope must be fitted over.
const leastSizes = 3

// Fit returns the line through the points and how much of their spread it
// explains, from 0 to 1.
func (s Series) Fit() (base, slope, r2 float64) {
	base, slope = stat.LinearRegression(s.X, s.Y, nil, false)
	return base, slope, stat.RSquared(s.X, s.Y, nil, base, slope)
}

var sized = regexp.MustCompile(`^(Benchmark\S*?)/(?:.*/)?([a-z]+)=(\d+)(?:-\d+)?$`)

// Read collects the series of benchmarks whose names end in "key=number".
func Read(r io.Reader) ([]Series, error) {
	var list []Series
	places := make(map[string]int)
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 4 {
			continue
		}
		m := sized.FindStringSubmatch(fields[0])
		if m == nil {
			continue
		}
		x, err := strconv.ParseFloat(m[3], 64)
		if err != nil {
			return nil, fmt.Errorf("read the size of %s: %w", fields[0], err)
		}
		for i := 2; i+1 < len(fields); i += 2 {
			y, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, fmt.Errorf("read %q of %s (give the plain output of go test -bench): %w", fields[i], fields[0], err)
			}
			name := m[1] + " by " + m[2]
			key := name + " " + fields[i+1]
			place, ok := places[key]
			if !ok {
				place = len(list)
				places[key] = place
				list = append(list, Series{Name: name, Unit: fields[i+1]})
			}
			list[place].X = append(list[place].X, x)
			list[place].Y = append(list[place].Y, y)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read the results: %w", err)
	}
	return enough(list)
}

func enough(list []Series) ([]Series, error) {
	var kept []Series
	for _, s := range list {
		if len(s.X) >= leastSizes {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		return nil, errors.New("no benchmark has three sizes (pipe the output of go test -bench to standard input)")
	}
	return kept, nil
}

// Table returns the fits as a Markdown table, with the values at a size.
func Table(list []Series, at float64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| benchmark | unit | sizes | base | slope | fit | at %g |\n|---|---|---|---|---|---|---|\n", at)
	for _, s := range list {
		base, slope, r2 := s.Fit()
		fmt.Fprintf(&b, "| %s | %s | %g to %g | %.4g | %.4g | %.3f | %.4g |\n",
			s.Name, s.Unit, s.X[0], s.X[len(s.X)-1], base, slope, r2, base+slope*at)
	}
	return b.String()
}

// Draw writes the times of all benchmarks, and their fits, to a PNG file.
func Draw(list []Series, file string) error {
	const width, height = 8 * vg.Inch, 5 * vg.Inch
	p := plot.New()
	p.Title.Text = "time by size, with fitted lines"
	p.X.Label.Text = "size"
	p.Y.Label.Text = "ns/op"
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for _, s := range list {
		if s.Unit != "ns/op" {
			continue
		}
		points := make(plotter.XYs, len(s.X))
		for i := range s.X {
			points[i] = plotter.XY{X: s.X[i], Y: s.Y[i]}
		}
		lines = append(lines, s.Name, points)
		base, slope, _ := s.Fit()
		p.Add(plotter.NewFunction(func(x float64) float64 { return base + slope*x }))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("draw: %w", err)
	}
	if err := p.Save(width, height, file); err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	return nil
}
