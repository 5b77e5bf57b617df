package scale

import (
	"fmt"
	"strings"

	"spurspread/lab/report"
)

// charted are the figures that a sweep draws over the size.
var charted = []struct {
	name, title, unit string
	figures           []string
}{
	{
		"bytes", "bytes sent and received by a member, in its worst 10 s", "bytes/s",
		[]string{"control_bytes_per_s", "control_rest_bytes_per_s", "control_rest_mean_bytes_per_s"},
	},
	{
		"cpu",
		"processor time of a real member",
		"cores",
		[]string{"control_core_share", "control_rest_mean_core_share"},
	},
	{"memory", "resident memory of a real member", "MB", []string{"control_memory_mb", "control_memory_mean_mb"}},
	{"times", "time until all know", "ms", []string{"zone_seen_ms", "count_everywhere_ms", "record_everywhere_ms"}},
}

// sweep is one report of a run at several sizes: of each bound the worst value, and of each size all figures.
type sweep struct {
	r       *report.Report
	without []string // bounds that the run does not measure
	lines   map[string]*report.Series
}

func newSweep(o Options) *sweep {
	name := "scale-rest"
	if o.Flat {
		name += "-flat"
	}
	return &sweep{newReport(name, o), unmeasured(o), map[string]*report.Series{}}
}

// add takes one size's report.
func (s *sweep) add(members int, one *report.Report) {
	at := fmt.Sprintf("_at_%d", members)
	for name, v := range one.Figures {
		s.r.Figures[name+at] = v
	}
	for name, text := range one.Notes {
		if name == "stubs" || name == "bytes" {
			s.r.Notes[name] = text
		} else {
			s.r.Notes[name+at] = text
		}
	}
	for _, b := range one.Bounds {
		if !b.OK {
			s.r.Notes["broken"] = strings.TrimPrefix(
				s.r.Notes["broken"]+fmt.Sprintf("; %s at %d members", b.Name, members),
				"; ",
			)
		}
		was, had := s.r.Figures[b.Name]
		if v, measured := one.Figures[b.Name]; measured && (!had || v > was) {
			s.r.Figures[b.Name] = v
		}
	}
	for _, c := range charted {
		for _, name := range c.figures {
			if v, had := one.Figures[name]; had {
				s.point(name, float64(members), v)
			}
		}
	}
	if why, void := one.Notes["not valid"]; void {
		s.r.Notes["not valid"] = strings.TrimPrefix(
			s.r.Notes["not valid"]+fmt.Sprintf("; %d members: %s", members, why),
			"; ",
		)
	}
}

func (s *sweep) point(name string, x, y float64) {
	if s.lines[name] == nil {
		s.lines[name] = &report.Series{Name: name}
	}
	s.lines[name].X, s.lines[name].Y = append(s.lines[name].X, x), append(s.lines[name].Y, y)
}

// report is what all sizes brought.
func (s *sweep) report() *report.Report {
	for _, c := range charted {
		chart := report.Chart{Name: c.name, Title: s.r.Experiment + ": " + c.title, X: "members", Y: c.unit}
		for _, name := range c.figures {
			if s.lines[name] != nil {
				chart.Series = append(chart.Series, *s.lines[name])
			}
		}
		s.r.Charts = append(s.r.Charts, chart)
	}
	check(s.r, s.without...)
	return s.r
}
