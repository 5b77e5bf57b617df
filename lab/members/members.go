// Package members runs named trials of membership on real processes of the balancer. The XML file of a Trial has the
// number of processes, the script of faults and the bounds; Find reads it, and Run returns a report. Most scripts, and
// the checker, are those of lab/scenario. The package must not depend on the protocol between members.
package members

import (
	"cmp"
	"context"
	"embed"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"spurspread/internal/xmlconfig"
	"spurspread/lab/experiment"
	"spurspread/lab/procs"
	"spurspread/lab/report"
	"spurspread/lab/scenario"
)

//go:embed *.xml
var files embed.FS

// document describes the format of a trial's file.
func document() xmlconfig.Document {
	return xmlconfig.Document{Root: "trial", Namespace: "urn:spurspread:trial:1"}
}

// Trial is the content of a trial's file.
type Trial struct {
	Name      xmlconfig.Name    `xml:"name,attr" use:"required"`
	About     xmlconfig.Text    `xml:"about,attr" use:"required" doc:"what it shows, in one line"`
	Script    string            `xml:"script,attr" use:"required" enum:"pause,loss,one-sided,split,storm,quiet,weak,tired,return,rates,cost,fleet" doc:"what is done, see lab/scenario"`
	Processes int               `xml:"processes,attr" default:"16" min:"3" max:"40"`
	Seeds     int               `xml:"seeds,attr" default:"3" min:"1" max:"40" doc:"how many of them are the seeds of all others"`
	Bounds    experiment.Bounds `xml:"bounds"`
}

// Names returns the names of the embedded trials, sorted.
func Names() (names []string) {
	entries, _ := files.ReadDir(".") // can't fail: the directory is embedded
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".xml"))
	}
	slices.Sort(names)
	return names
}

// ErrUnknown means that no embedded trial has the requested name.
var ErrUnknown = errors.New("unknown trial")

// Find returns the embedded trial of that name. If there is none, the error wraps ErrUnknown.
func Find(name string) (*Trial, error) {
	text, err := files.ReadFile(name + ".xml")
	if err != nil {
		return nil, fmt.Errorf("%w %q, expected one of %s", ErrUnknown, name, strings.Join(Names(), ", "))
	}
	t := &Trial{}
	return t, xmlconfig.Read(name+".xml", text, document(), t)
}

// joinTimeout bounds the time in which all members must find each other.
const joinTimeout = time.Minute

// run is the state of one run of a trial.
type run struct {
	trial   *Trial
	options experiment.Options
	dir     string // directory of the processes' files
	report  *report.Report
}

// Run runs the trial. An error means that it could not be run to its end. Broken bounds are part of the report.
func (t *Trial) Run(ctx context.Context, o experiment.Options) (*report.Report, error) {
	dir, err := os.MkdirTemp("", "spurspread-lab")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &run{
		trial:   t,
		options: o,
		dir:     dir,
		report: &report.Report{
			Experiment: string(t.Name),
			Seed:       o.Seed,
			Command:    o.Command,
			Commit:     o.Commit,
			Figures:    map[string]float64{"members": float64(t.Processes)},
			Notes:      map[string]string{},
		},
	}
	if err := r.runTrial(ctx); err != nil {
		return nil, err
	}
	t.Bounds.Check(r.report)
	return r.report, nil
}

// runTrial runs the trial's script, which is one of this package or of lab/scenario.
func (r *run) runTrial(ctx context.Context) error {
	switch r.trial.Script {
	case "rates":
		return r.runRates(ctx)
	case "cost":
		return r.runCost(ctx)
	case "fleet":
		return r.runVirtualFleets(ctx)
	default:
		return r.runScript(ctx)
	}
}

func (r *run) log(format string, args ...any) {
	if r.options.Progress != nil {
		_, _ = fmt.Fprintf(r.options.Progress, string(r.trial.Name)+" "+format+"\n", args...)
	}
}

// newFleet prepares the trial's processes, which are not started.
func (r *run) newFleet(dir string) (*procs.Fleet, error) {
	return procs.New(r.options.Program, dir, r.trial.Processes, r.trial.Seeds, r.options.Seed)
}

// awaitJoined waits until all members have found each other. It returns nil early if the context is done.
func awaitJoined(ctx context.Context, f *procs.Fleet, all []int) error {
	return procs.Await(joinTimeout, "all members find each other", func() bool {
		return ctx.Err() != nil || f.Converged(all)
	})
}

// runScript runs a script of lab/scenario, and adds its figures to the report.
func (r *run) runScript(ctx context.Context) error {
	script, ok := scenario.Find(r.trial.Script)
	if !ok {
		return fmt.Errorf("unknown scenario %q", r.trial.Script)
	}
	f, err := r.newFleet(r.dir)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Start(); err != nil {
		return err
	}
	s := procs.NewTestbed(f, r.options.Seed)
	defer s.Close()
	defer context.AfterFunc(ctx, f.Close)()
	t := scenario.New(s, r.log)
	if err := awaitJoined(ctx, f, t.All()); err != nil {
		return err
	}
	// Discard what members have reported while they joined: the checker must not see it.
	if err := s.Run(s.Now()); err != nil {
		return err
	}
	s.OnStateChange = t.StateChanged
	s.CountBytes()
	t.WatchViews()
	until := s.Now() + script(t) + scenario.SettleTime
	if err := s.Run(until); err != nil || ctx.Err() != nil {
		return fmt.Errorf("the trial ended early: %w", cmp.Or(err, context.Cause(ctx)))
	}
	result := t.Result(r.trial.Script, r.options.Seed)
	result.BytesPerS = s.BytesPerS()
	r.addResult(result)
	r.report.Notes["faults"] = strings.Join(t.Faults, "; ")
	return nil
}

// addResult adds the figures of a script's result and a chart of its detection times to the report.
func (r *run) addResult(result *scenario.Result) {
	for _, f := range result.Figures() {
		r.report.Figures[f.Name] = f.Measured
	}
	var detections []float64
	for _, d := range result.DetectionTimes {
		detections = append(detections, float64(d.Microseconds())/1000)
	}
	r.report.Figures["crash_seen_p50_ms"] = report.Quantile(detections, 0.5)
	r.report.Figures["crashes_seen"] = float64(len(detections))
	r.report.Charts = []report.Chart{{
		Name:   "seen",
		Title:  string(r.trial.Name) + ": time from a crash to its detection by a member",
		X:      "members and crashes, %",
		Y:      "ms",
		Series: []report.Series{report.Percentiles("seen", detections)},
	}}
}
