package report

import (
	"errors"
	"image/color"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Chart is a picture of some series.
type Chart struct {
	Name, Title, X, Y string
	Series            []Series
}

// Series is one line of a chart: points in the order of X.
type Series struct {
	Name string
	X, Y []float64
}

// The colours tell series apart also where colours are seen differently (Okabe and Ito).
var colours = []color.RGBA{
	{0, 114, 178, 255},
	{213, 94, 0, 255},
	{0, 158, 115, 255},
	{204, 121, 167, 255},
	{230, 159, 0, 255},
}

// draw writes the chart as SVG and PNG. A series without points is in the legend only; one with a single point is a
// dot.
func (c Chart) draw(base string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.X, c.Y
	p.BackgroundColor = color.White
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.Padding = vg.Points(2)
	p.Add(plotter.NewGrid())
	for i, s := range c.Series {
		pts := make(plotter.XYs, len(s.X))
		for k := range pts {
			pts[k].X, pts[k].Y = s.X[k], s.Y[k]
		}
		line, err := plotter.NewLine(pts)
		if err != nil && len(pts) > 0 {
			return err
		}
		if len(pts) == 0 {
			line = &plotter.Line{}
		}
		line.Color, line.Width = colours[i%len(colours)], vg.Points(1.5)
		p.Legend.Add(s.Name, line)
		if len(pts) == 1 {
			dot, err := plotter.NewScatter(pts)
			if err != nil {
				return err
			}
			dot.Color = line.Color
			p.Add(dot)
		} else if len(pts) > 1 {
			p.Add(line)
		}
	}
	p.Y.Min = min(p.Y.Min, 0)
	p.Y.Max += (p.Y.Max - p.Y.Min) / 5 // room for the legend
	return errors.Join(p.Save(7*vg.Inch, 4*vg.Inch, base+".svg"), p.Save(7*vg.Inch, 4*vg.Inch, base+".png"))
}

// Percentiles is a series of what a part of all values is at most: the part in per cent, and the value.
func Percentiles(name string, values []float64) Series {
	s := Series{Name: name}
	sorted := slices.Sorted(slices.Values(values))
	for i, v := range sorted {
		s.X, s.Y = append(s.X, 100*float64(i+1)/float64(len(sorted))), append(s.Y, v)
	}
	return s
}

// Quantile is the value that a part q of all values does not exceed; 0 where there are none.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Counts is a series of how many moments fall into each step of time, as a rate a second.
func Counts(name string, moments []float64, step float64) Series {
	s := Series{Name: name}
	if len(moments) == 0 {
		return s
	}
	last := slices.Max(moments)
	bins := make([]int, int(last/step)+1)
	for _, m := range moments {
		bins[max(int(m/step), 0)]++
	}
	for i, n := range bins {
		s.X, s.Y = append(s.X, float64(i)*step), append(s.Y, float64(n)/step)
	}
	return s
}
