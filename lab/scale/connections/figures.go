package connections

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"

	"spurspread/lab/report"
)

// fittedLine is a straight line that is fitted to a cost by the number of connections.
type fittedLine struct {
	intercept float64
	slope     float64
	residual  float64 // greatest distance of a point from the line, relative to the line's value there
	growth    float64 // ratio of the line's values at the greatest and smallest number; 0 if the latter is not positive
}

// minFitPoints is the minimum number of points for a line.
const minFitPoints = 4

// fitLine fits a line by least squares to points in ascending order of x. ok is false if there are too few points or
// all have the same x.
func fitLine(x, y []float64) (fitted fittedLine, ok bool) {
	if len(x) < minFitPoints {
		return fittedLine{}, false
	}
	fitted.intercept, fitted.slope = stat.LinearRegression(x, y, nil, false)
	if math.IsNaN(fitted.slope) || math.IsInf(fitted.slope, 0) {
		return fittedLine{}, false
	}
	for i := range x {
		if value := fitted.at(x[i]); value != 0 {
			fitted.residual = max(fitted.residual, math.Abs((y[i]-value)/value))
		}
	}
	if first := fitted.at(x[0]); first > 0 {
		fitted.growth = fitted.at(x[len(x)-1]) / first
	}
	return fitted, true
}

// at returns the value of the line.
func (l fittedLine) at(x float64) float64 { return l.intercept + l.slope*x }

// series returns a figure by the number of connections, multiplied by a factor. Sizes without the figure are left out.
func (r *run) series(figure string, factor float64) report.Series {
	s := report.Series{Name: figure}
	for i := range r.measurements {
		m := &r.measurements[i]
		if value, measured := m.figures[figure]; measured {
			s.X = append(s.X, float64(m.size))
			s.Y = append(s.Y, value*factor)
		}
	}
	return s
}

// slopeFigures are the figures whose slope over the number of connections is the cost of one connection.
var slopeFigures = []struct {
	figure string
	name   string  // of the slope, with its unit
	factor float64 // from the unit of the figure to that of the slope, for one connection
}{
	{"mb_standing", "bytes_per_connection", bytesPerMegabyte},
	{"mb_silent", "bytes_per_half_open", bytesPerMegabyte / silentFactor},
	{"mb_waiting", "bytes_per_waiting", bytesPerMegabyte},
	{"mb_attempt", "bytes_per_attempt", bytesPerMegabyte},
	{"cpu_share_idle", "idle_us_per_connection_s", 1e6},
	{"cpu_share_waiting", "waiting_us_per_connection_s", 1e6},
	{"us_per_list_change", "list_change_us_per_connection", 1},
}

// constantCosts are the figures that should not depend on the number of connections. Their growth is reported.
var constantCosts = []string{
	"us_per_accept",
	"us_per_set_up",
	"us_per_set_up_churn",
	"us_per_line_common",
	"us_per_reconnect",
	"p99_ms_at_rest",
}

// maxFigures are the figures whose greatest value over all sizes is reported.
var maxFigures = []string{
	"p99_ms_at_rest",
	"lost_at_rest",
	"wave_missing",
	"wave_90_ms",
	"us_per_set_up",
	"us_per_line_common",
	"cpu_share_idle",
}

// minFigures are the figures whose smallest value over all sizes is reported.
var minFigures = []string{"borne_lines_per_s"}

// recordFigures records the figures of all sizes, with their charts and bounds.
func (r *run) recordFigures() {
	for i := range r.measurements {
		m := &r.measurements[i]
		for name, value := range m.figures {
			r.report.Figures[fmt.Sprintf("n%05d_%s", m.size, name)] = value
		}
	}
	r.recordFits()
	for _, figure := range maxFigures {
		r.recordExtreme(figure, 1)
	}
	for _, figure := range minFigures {
		r.recordExtreme(figure, 0)
	}
	r.report.Charts = r.charts()
	r.checkBounds()
}

// recordFits records the slopes of costs, and the growth of costs that should be constant.
func (r *run) recordFits() {
	figures := r.report.Figures
	for _, slope := range slopeFigures {
		s := r.series(slope.figure, slope.factor)
		if fitted, ok := fitLine(s.X, s.Y); ok {
			figures[slope.name] = fitted.slope
			figures[slope.name+"_residual"] = fitted.residual
		}
	}
	for _, figure := range constantCosts {
		s := r.series(figure, 1)
		if fitted, ok := fitLine(s.X, s.Y); ok {
			figures[figure+"_grows"] = fitted.growth
			figures[figure+"_residual"] = fitted.residual
		}
	}
}

// recordExtreme records a quantile of a figure over all sizes: 0 for the smallest, 1 for the greatest. The figure is
// not recorded if a size lacks it.
func (r *run) recordExtreme(figure string, quantile float64) {
	if s := r.series(figure, 1); len(s.Y) == len(r.measurements) {
		r.report.Figures[figure] = report.Quantile(s.Y, quantile)
	}
}

// seriesOf returns several figures, each by the number of connections.
func (r *run) seriesOf(figures ...string) []report.Series {
	var all []report.Series
	for _, figure := range figures {
		all = append(all, r.series(figure, 1))
	}
	return all
}

// charts returns the charts of the report.
func (r *run) charts() []report.Chart {
	return []report.Chart{
		{
			Name: "memory", Title: Name + ": resident memory", X: "connections", Y: "MB",
			Series: r.seriesOf("mb_standing", "mb_silent", "mb_waiting", "mb_attempt"),
		},
		{
			Name: "work", Title: Name + ": processor time per operation", X: "connections", Y: "us",
			Series: r.seriesOf("us_per_accept", "us_per_set_up", "us_per_line_common", "us_per_reconnect"),
		},
		{
			Name: "idle", Title: Name + ": processor time at rest", X: "connections", Y: "share of one core",
			Series: r.seriesOf("cpu_share_idle", "cpu_share_waiting"),
		},
		{
			Name: "delay", Title: Name + ": p99 of the delay since a line was due", X: "lines per second", Y: "ms",
			Series: r.delaySeries(),
		},
	}
}

// delaySeries returns the delay by the line rate, for the smallest, the middle and the largest size.
func (r *run) delaySeries() []report.Series {
	var all []report.Series
	for i := range r.measurements {
		if i == 0 || i == len(r.measurements)-1 || i == len(r.measurements)/2 {
			all = append(all, r.measurements[i].delay)
		}
	}
	return all
}

// checkBounds checks the bounds, which have to be met with every seed.
func (r *run) checkBounds() {
	for _, bound := range []struct {
		figure  string
		limit   float64
		atLeast bool
	}{
		{"bytes_per_connection", 4096, false},
		{"bytes_per_half_open", 2048, false},
		{"bytes_per_waiting", 4096, false},
		{"p99_ms_at_rest", 10, false},
		{"lost_at_rest", 0, false},
		{"wave_missing", 0, false},
		{"borne_lines_per_s", 10000, true},
	} {
		r.report.Check(bound.figure, bound.limit, bound.atLeast)
	}
}
