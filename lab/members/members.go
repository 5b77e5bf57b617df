// Package members plays the named trials of membership on real processes of the balancer: each says in a file of
// its own how many there are, what is done to them and which bounds hold. What is done, and who judges it, is
// lab/scenario's.
package members

import (
	"context"
	"embed"
	"fmt"
	"os"
	"slices"
	"spurspread/internal/xmlconfig"
	"spurspread/lab/experiment"
	"spurspread/lab/procs"
	"spurspread/lab/report"
	"spurspread/lab/scenario"
	"strings"
	"time"
)

//go:embed *.xml
var files embed.FS

// Document is what a trial's file looks like.
var Document = xmlconfig.Document{Root: "trial", Namespace: "urn:spurspread:trial:1"}

// Trial is one trial's file.
type Trial struct {
	Name      xmlconfig.Name    `xml:"name,attr" use:"required"`
	About     xmlconfig.Text    `xml:"about,attr" use:"required" doc:"what it shows, in one line"`
	Script    string            `xml:"script,attr" use:"required" enum:"pause,loss,one-sided,split,storm,quiet,weak,tired,return,rates,cost,fleet" doc:"what is done, see lab/scenario"`
	Processes int               `xml:"processes,attr" default:"16" min:"3" max:"40"`
	Seeds     int               `xml:"seeds,attr" default:"3" min:"1" max:"40" doc:"how many of them all others are told of at their start"`
	Bounds    experiment.Bounds `xml:"bounds"`
}

// Names are the kept trials.
func Names() (out []string) {
	entries, _ := files.ReadDir(".") // embedded: it can be read
	for _, e := range entries {
		out = append(out, strings.TrimSuffix(e.Name(), ".xml"))
	}
	slices.Sort(out)
	return out
}

// Find finds a kept trial by its name.
func Find(name string) (*Trial, error) {
	text, err := files.ReadFile(name + ".xml")
	if err != nil {
		return nil, fmt.Errorf("there is no trial %q; there are %s", name, strings.Join(Names(), ", "))
	}
	t := &Trial{}
	return t, xmlconfig.Read(name+".xml", text, Document, t)
}

// joinTime bounds how long all may take to find each other.
const joinTime = time.Minute

// Run plays the trial. An error means that it could not be played; bounds that do not hold are in the report.
func (c *Trial) Run(ctx context.Context, o experiment.Options) (*report.Report, error) {
	dir, err := os.MkdirTemp("", "spurspread-lab")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &report.Report{
		Experiment: string(c.Name), Seed: o.Seed, Command: o.Command, Commit: o.Commit, Figures: map[string]float64{},
		Notes: map[string]string{},
	}
	r.Figures["members"] = float64(c.Processes)
	log := func(format string, args ...any) {
		if o.Progress != nil {
			_, _ = fmt.Fprintf(o.Progress, string(c.Name)+" "+format+"\n", args...)
		}
	}
	play := map[string]func(context.Context, experiment.Options, string, *report.Report, func(string, ...any)) error{
		"rates": c.rates, "cost": c.cost, "fleet": c.fleet,
	}[c.Script]
	if play == nil {
		play = c.script
	}
	if err := play(ctx, o, dir, r, log); err != nil {
		return nil, err
	}
	c.Bounds.Check(r)
	return r, nil
}

// script plays one of lab/scenario's scripts.
func (c *Trial) script(
	ctx context.Context,
	o experiment.Options,
	dir string,
	r *report.Report,
	log func(string, ...any),
) error {
	f, err := procs.New(o.Program, dir, c.Processes, c.Seeds, o.Seed)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Start(); err != nil {
		return err
	}
	s := procs.NewStage(f, o.Seed)
	defer s.Close()
	defer context.AfterFunc(ctx, f.Close)()
	t := scenario.New(s, log)
	if err := procs.Await(joinTime, "all find each other",
		func() bool { return ctx.Err() != nil || f.Agreed(t.All()) }); err != nil {
		return err
	}
	// What was said before is not judged.
	if err := s.Run(s.Now()); err != nil {
		return err
	}
	s.Changed = t.Changed
	s.Count()
	t.Watch()
	until := s.Now() + scenario.Scenarios[c.Script](t) + scenario.Settle
	if err := s.Run(until); err != nil || ctx.Err() != nil {
		return fmt.Errorf("the trial ended early: %w", context.Cause(ctx))
	}
	got := t.Result(c.Script, o.Seed)
	got.BytesPerS = s.BytesPerS()
	for _, one := range got.Figures() {
		r.Figures[one.Name] = one.Measured
	}
	var seen []float64
	for _, d := range got.Seen {
		seen = append(seen, float64(d.Microseconds())/1000)
	}
	r.Figures["crash_seen_p50_ms"], r.Figures["crashes_seen"] = report.Quantile(seen, 0.5), float64(len(seen))
	r.Notes["faults"] = strings.Join(t.Faults, "; ")
	r.Charts = []report.Chart{{
		Name: "seen", Title: string(c.Name) + ": from a crash until a member holds it dead",
		X: "members and crashes, %",
		Y: "ms", Series: []report.Series{report.Percentiles("seen", seen)},
	}}
	return nil
}
