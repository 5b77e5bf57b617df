package scale

import (
	"fmt"

	"spurspread/lab/report"
)

// sweepCharts are the charts of a sweep: figures by the size of the fleet.
var sweepCharts = []struct {
	name    string
	title   string
	unit    string
	figures []string
}{
	{
		name:    "bytes",
		title:   "bytes sent and received by a member, in its worst 10 s",
		unit:    "bytes/s",
		figures: []string{"control_bytes_per_s", "control_rest_bytes_per_s", "control_rest_mean_bytes_per_s"},
	},
	{
		name:    "cpu",
		title:   "processor time of a real member",
		unit:    "cores",
		figures: []string{"control_core_share", "control_rest_mean_core_share"},
	},
	{
		name:    "memory",
		title:   "resident memory of a real member",
		unit:    "MB",
		figures: []string{"control_memory_mb", "control_memory_mean_mb"},
	},
	{
		name:    "times",
		title:   "time until all members know",
		unit:    "ms",
		figures: []string{"zone_seen_ms", "count_everywhere_ms", "record_everywhere_ms"},
	},
}

// sweep combines the reports of runs at several sizes into one: the worst value of each bound, and all figures of each
// size.
type sweep struct {
	summary    *report.Report
	unmeasured []string                  // bounds that the runs do not measure
	lines      map[string]*report.Series // by figure
}

func newSweep(o Options) *sweep {
	return &sweep{
		summary:    newReport(restName(o, ""), o),
		unmeasured: unmeasuredBounds(o),
		lines:      map[string]*report.Series{},
	}
}

// add adds the report of one size.
func (s *sweep) add(members int, result *report.Report) {
	suffix := fmt.Sprintf("_at_%d", members)
	for name, value := range result.Figures {
		s.summary.Figures[name+suffix] = value
	}
	for name, text := range result.Notes {
		if name == "stubs" || name == "bytes" { // the same at all sizes
			s.summary.Notes[name] = text
		} else {
			s.summary.Notes[name+suffix] = text
		}
	}
	for _, bound := range result.Bounds {
		s.addBound(members, bound, result)
	}
	for _, chart := range sweepCharts {
		for _, name := range chart.figures {
			if value, measured := result.Figures[name]; measured {
				s.addPoint(name, float64(members), value)
			}
		}
	}
	if reason, invalid := result.Notes[invalidNote]; invalid {
		s.appendNote(invalidNote, fmt.Sprintf("%d members: %s", members, reason))
	}
}

// addBound adds one bound of the report of a size. It notes a missed bound, and stores the worst value of all sizes.
func (s *sweep) addBound(members int, bound report.Bound, result *report.Report) {
	if !bound.OK {
		s.appendNote("broken", fmt.Sprintf("%s at %d members", bound.Name, members))
	}
	value, measured := result.Figures[bound.Name]
	if !measured {
		return
	}
	if worst, had := s.summary.Figures[bound.Name]; !had || value > worst {
		s.summary.Figures[bound.Name] = value
	}
}

// appendNote appends a text to a note of the summary.
func (s *sweep) appendNote(name, text string) {
	if before := s.summary.Notes[name]; before != "" {
		text = before + "; " + text
	}
	s.summary.Notes[name] = text
}

// addPoint adds a point to the line of a figure.
func (s *sweep) addPoint(figure string, x, y float64) {
	line := s.lines[figure]
	if line == nil {
		line = &report.Series{Name: figure}
		s.lines[figure] = line
	}
	line.X = append(line.X, x)
	line.Y = append(line.Y, y)
}

// report returns the report of all sizes, with its charts and bounds.
func (s *sweep) report() *report.Report {
	for _, charted := range sweepCharts {
		chart := report.Chart{
			Name:  charted.name,
			Title: s.summary.Experiment + ": " + charted.title,
			X:     "members",
			Y:     charted.unit,
		}
		for _, figure := range charted.figures {
			if s.lines[figure] != nil {
				chart.Series = append(chart.Series, *s.lines[figure])
			}
		}
		s.summary.Charts = append(s.summary.Charts, chart)
	}
	checkBounds(s.summary, s.unmeasured...)
	return s.summary
}
