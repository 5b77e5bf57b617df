package connections

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"

	"spurspread/lab/report"
)

// fit is a straight line through a cost by the number of connections.
type fit struct {
	at0, slope float64
	residual   float64 // the greatest distance of a point from the line, as a part of the line's value there
	grows      float64 // the line's value at the largest number over that at the smallest
}

// fewest points make a line that says something.
const fewest = 4

// line fits one; false where there are too few points, or all at one number.
func line(x, y []float64) (f fit, ok bool) {
	if len(x) < fewest {
		return f, false
	}
	f.at0, f.slope = stat.LinearRegression(x, y, nil, false)
	if math.IsNaN(f.slope) || math.IsInf(f.slope, 0) {
		return f, false
	}
	at := func(x float64) float64 { return f.at0 + f.slope*x }
	for i := range x {
		if v := at(x[i]); v != 0 {
			f.residual = max(f.residual, math.Abs((y[i]-v)/v))
		}
	}
	if first := at(x[0]); first > 0 {
		f.grows = at(x[len(x)-1]) / first
	}
	return f, true
}

// series is a figure by the number of connections.
func (x *run) series(name string, times float64) report.Series {
	s := report.Series{Name: name}
	for _, p := range x.points {
		if v, had := p.f[name]; had {
			s.X, s.Y = append(s.X, float64(p.n)), append(s.Y, v*times)
		}
	}
	return s
}

// slopes are the figures whose slope says what one connection costs, with the slope's name and unit.
var slopes = []struct {
	of, name string
	times    float64 // from the figure's unit, for one connection
}{
	{"mb_standing", "bytes_per_connection", 1 << 20},
	{"mb_silent", "bytes_per_half_open", 1 << 19}, // there are twice as many
	{"mb_waiting", "bytes_per_waiting", 1 << 20},
	{"mb_attempt", "bytes_per_attempt", 1 << 20},
	{"cpu_share_idle", "idle_us_per_connection_s", 1e6},
	{"cpu_share_waiting", "waiting_us_per_connection_s", 1e6},
	{"us_per_list_change", "list_change_us_per_connection", 1},
}

// growing are the costs that ought to be the same for any number of connections.
var growing = []string{
	"us_per_accept",
	"us_per_set_up",
	"us_per_set_up_churn",
	"us_per_line_common",
	"us_per_reconnect",
	"p99_ms_at_rest",
}

// reportPoints makes the report of all points.
func (x *run) reportPoints() {
	f := x.r.Figures
	for _, p := range x.points {
		for name, v := range p.f {
			f[fmt.Sprintf("n%05d_%s", p.n, name)] = v
		}
	}
	for _, one := range slopes {
		if s := x.series(one.of, one.times); true {
			if l, ok := line(s.X, s.Y); ok {
				f[one.name], f[one.name+"_residual"] = l.slope, l.residual
			}
		}
	}
	for _, name := range growing {
		if s := x.series(name, 1); len(s.X) > 0 {
			if l, ok := line(s.X, s.Y); ok {
				f[name+"_grows"], f[name+"_residual"] = l.grows, l.residual
			}
		}
	}
	x.worst()
	x.charts()
	x.bounds()
}

// worst takes the worst of all sizes where a bound is held by each of them. What one size lacks, the whole lacks.
func (x *run) worst() {
	for _, name := range []string{
		"p99_ms_at_rest", "lost_at_rest", "wave_missing", "wave_90_ms", "us_per_set_up",
		"us_per_line_common", "cpu_share_idle",
	} {
		if s := x.series(name, 1); len(s.Y) == len(x.points) {
			x.r.Figures[name] = report.Quantile(s.Y, 1)
		}
	}
	if s := x.series("borne_lines_per_s", 1); len(s.Y) == len(x.points) {
		x.r.Figures["borne_lines_per_s"] = report.Quantile(s.Y, 0)
	}
}

func (x *run) charts() {
	memory := report.Chart{Name: "memory", Title: Name + ": resident memory", X: "connections", Y: "MB"}
	for _, name := range []string{"mb_standing", "mb_silent", "mb_waiting", "mb_attempt"} {
		memory.Series = append(memory.Series, x.series(name, 1))
	}
	work := report.Chart{Name: "work", Title: Name + ": processor time of each", X: "connections", Y: "us"}
	for _, name := range []string{"us_per_accept", "us_per_set_up", "us_per_line_common", "us_per_reconnect"} {
		work.Series = append(work.Series, x.series(name, 1))
	}
	idle := report.Chart{
		Name:  "idle",
		Title: Name + ": processor time at rest",
		X:     "connections",
		Y:     "part of a core",
	}
	idle.Series = append(idle.Series, x.series("cpu_share_idle", 1), x.series("cpu_share_waiting", 1))
	delay := report.Chart{Name: "delay", Title: Name + ": p99 from when a line was due", X: "lines a second", Y: "ms"}
	for i, p := range x.points {
		if i == 0 || i == len(x.points)-1 || i == len(x.points)/2 {
			delay.Series = append(delay.Series, p.delay)
		}
	}
	x.r.Charts = []report.Chart{memory, work, idle, delay}
}

// bounds hold on any seed.
func (x *run) bounds() {
	for _, b := range []struct {
		name    string
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
		x.r.Check(b.name, b.limit, b.atLeast)
	}
}
