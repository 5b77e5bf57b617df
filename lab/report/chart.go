package report

import (
	"errors"
	"image/color"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Chart is a line chart of some series; X and Y are the labels of its axes.
type Chart struct {
	Name, Title, X, Y string
	Series            []Series
}

// Series is one line of a chart: points in the order of X.
type Series struct {
	Name string
	X, Y []float64
}

const (
	chartWidth    = 7 * vg.Inch
	chartHeight   = 4 * vg.Inch
	lineWidth     = 1.5 // points
	legendPadding = 2   // points
	legendDivisor = 5   // 1/legendDivisor of the range of Y is added at the top for the legend
)

// palette returns the colours of the series, which colour-blind readers can distinguish, too (Okabe and Ito).
func palette() []color.RGBA {
	return []color.RGBA{
		{0, 114, 178, 255},
		{213, 94, 0, 255},
		{0, 158, 115, 255},
		{204, 121, 167, 255},
		{230, 159, 0, 255},
	}
}

// draw writes the chart to base with the endings .svg and .png. A series without points appears only in the legend; one
// with a single point is drawn as a dot.
func (c Chart) draw(base string) error {
	p := plot.New()
	p.Title.Text = c.Title
	p.X.Label.Text = c.X
	p.Y.Label.Text = c.Y
	p.BackgroundColor = color.White
	p.Legend.Top = true
	p.Legend.Left = true
	p.Legend.Padding = vg.Points(legendPadding)
	p.Add(plotter.NewGrid())
	colours := palette()
	for i, s := range c.Series {
		if err := s.addTo(p, colours[i%len(colours)]); err != nil {
			return err
		}
	}
	p.Y.Min = min(p.Y.Min, 0)
	p.Y.Max += (p.Y.Max - p.Y.Min) / legendDivisor
	return errors.Join(
		p.Save(chartWidth, chartHeight, base+".svg"),
		p.Save(chartWidth, chartHeight, base+".png"),
	)
}

// addTo adds the series' line, or its dot, to a plot and its legend.
func (s Series) addTo(p *plot.Plot, colour color.Color) error {
	points := make(plotter.XYs, len(s.X))
	for i := range points {
		points[i].X = s.X[i]
		points[i].Y = s.Y[i]
	}
	line := &plotter.Line{}
	if len(points) > 0 {
		var err error
		if line, err = plotter.NewLine(points); err != nil {
			return err
		}
	}
	line.Color = colour
	line.Width = vg.Points(lineWidth)
	p.Legend.Add(s.Name, line)
	switch {
	case len(points) == 1:
		dot, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		dot.Color = colour
		p.Add(dot)
	case len(points) > 1:
		p.Add(line)
	}
	return nil
}

// Percentiles returns the distribution of values as a series: X is the percentage of values that do not exceed Y.
func Percentiles(name string, values []float64) Series {
	s := Series{Name: name}
	sorted := slices.Sorted(slices.Values(values))
	for i, v := range sorted {
		s.X = append(s.X, 100*float64(i+1)/float64(len(sorted)))
		s.Y = append(s.Y, v)
	}
	return s
}

// Quantile returns the value that the fraction q of all values, from 0 to 1, does not exceed; 0 if there are no values.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Counts returns a histogram of times as a series: X is the start of each bin of length step, Y the number of times in
// the bin as a rate per second. Times and step are in seconds.
func Counts(name string, times []float64, step float64) Series {
	s := Series{Name: name}
	if len(times) == 0 {
		return s
	}
	last := slices.Max(times)
	bins := make([]int, int(last/step)+1)
	for _, t := range times {
		bins[max(int(t/step), 0)]++
	}
	for i, n := range bins {
		s.X = append(s.X, float64(i)*step)
		s.Y = append(s.Y, float64(n)/step)
	}
	return s
}
