package main

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"

	"golang.org/x/sync/errgroup"

	"spurspread/lab/report"
	"spurspread/lab/scenario"
	"spurspread/lab/simulation"
)

// virtualCmd simulates members in virtual time while scripts of faults are applied to them.
type virtualCmd struct {
	Script   string `arg:"" optional:"" help:"The script of faults to apply to the members; by default all scripts in turn."`
	Members  int    `default:"0" help:"Number of members; 0: 3 to 24, by seed."`
	Seed     uint64 `default:"1" help:"The seed of the first run."`
	Repeat   int    `default:"1" help:"Number of runs of each script, each with the next seed."`
	Jobs     int    `default:"4" help:"Number of runs at the same time."`
	Fault    string `name:"plant" placeholder:"FAULT" help:"Inject a fault in the members, to test that the checks detect it: same-incarnation, blind-to-pauses or one-observer."`
	Detector string `name:"way" placeholder:"WAY" help:"Use another failure detector instead of the balancer's: heartbeats, phi or swim."`
	Log      bool   `help:"Print the actions of the scripts and the findings."`
	Out      string `placeholder:"FILE" help:"Write a row for each run to this file (CSV)."`
}

// Help returns the command's long help text.
func (virtualCmd) Help() string {
	return "Simulates the membership protocol of many members in virtual time. The same seed gives the same events, " +
		"and the\nsame hash of them. " + `For each bound that does not hold, prints the command that repeats the run.

Examples:
  spurspread-lab virtual loss --members 24 --seed 4 --log
  spurspread-lab virtual --repeat 200`
}

// Run runs the scripts, and prints the bounds that do not hold and a line for each script. It returns errBoundBroken if
// a bound does not hold.
func (c *virtualCmd) Run(s *streams) error {
	scripts := scenario.Names()
	if c.Script != "" {
		scripts = []string{c.Script}
	}
	build, err := c.builder()
	if err != nil {
		return err
	}
	var log func(string, ...any)
	if c.Log {
		log = func(format string, args ...any) { _, _ = fmt.Fprintf(s.out, format+"\n", args...) }
	}
	var all []*scenario.Result
	broken := 0
	for _, script := range scripts {
		results, err := c.runRepeats(script, build, log)
		if err != nil {
			return err
		}
		broken += printBrokenBounds(s.out, results)
		if _, err := fmt.Fprintln(s.out, summary(script, results)); err != nil {
			return err
		}
		all = append(all, results...)
	}
	if c.Out != "" {
		if err := writeRuns(c.Out, all); err != nil {
			return err
		}
	}
	if broken > 0 {
		return errBoundBroken
	}
	return nil
}

// seedMembers is the number of members that the others join by.
const seedMembers = 3

// builder returns the function that creates members: the balancer's, or those of the named failure detector, with the
// named fault.
func (c *virtualCmd) builder() (build detectorBuilder, err error) {
	build = simulation.BalancerMembers(seedMembers)
	if c.Detector != "" {
		build = simulation.Alternatives()[c.Detector]
		if build == nil {
			return nil, fmt.Errorf("--way %q is not heartbeats, phi or swim", c.Detector)
		}
	}
	if c.Fault == "" {
		return build, nil
	}
	if simulation.Faults()[c.Fault] == nil {
		return nil, fmt.Errorf("--plant %q is not same-incarnation, blind-to-pauses or one-observer", c.Fault)
	}
	return simulation.WithFault(c.Fault, build), nil
}

// detectorBuilder creates the failure detector of member i of a cluster at its start-th start, counted from 1.
type detectorBuilder = func(w *simulation.Cluster, i, start int) simulation.Detector

// runRepeats runs one script with each seed, at most Jobs at the same time. log may be nil.
func (c *virtualCmd) runRepeats(
	script string, build detectorBuilder, log func(string, ...any),
) ([]*scenario.Result, error) {
	results := make([]*scenario.Result, max(c.Repeat, 1))
	var group errgroup.Group
	group.SetLimit(max(c.Jobs, 1))
	for i := range results {
		seed := c.Seed + uint64(i)
		members := c.membersFor(seed)
		group.Go(func() (err error) {
			results[i], err = simulation.Run(script, members, seed, build, log)
			return err
		})
	}
	return results, group.Wait()
}

// membersFor returns the number of members: the given one, or else one that depends on the seed.
func (c *virtualCmd) membersFor(seed uint64) int {
	if c.Members != 0 {
		return c.Members
	}
	sizes := []int{3, 5, 8, 16, 24}
	return sizes[seed%uint64(len(sizes))]
}

// printBrokenBounds prints a line for each bound that does not hold, with the command that repeats its run, and returns
// their number.
func printBrokenBounds(to io.Writer, results []*scenario.Result) (broken int) {
	for _, r := range results {
		for _, bound := range r.Broken() {
			broken++
			_, _ = fmt.Fprintf(to, "%s, %d members: %s; repeat: bin/spurspread-lab virtual %s --members %d --seed %d\n",
				r.Scenario, r.Members, bound, r.Scenario, r.Members, r.Seed)
		}
	}
	return broken
}

// summary returns a line about all runs of a script. The hash is that of the events of the first run.
func summary(script string, results []*scenario.Result) string {
	var bytes, detections []float64
	for _, r := range results {
		bytes = append(bytes, r.BytesPerS)
		detections = append(detections, r.DetectionQuantile(0.99).Seconds())
	}
	return fmt.Sprintf(
		"%-10s %d runs; bytes/s per member: median %.0f, max %.0f; crash detection (p99 of a run): median %.2f s, "+
			"max %.2f s; hash of the first run %s",
		script, len(results), report.Quantile(bytes, 0.5), report.Quantile(bytes, 1),
		report.Quantile(detections, 0.5), report.Quantile(detections, 1), results[0].Hash,
	)
}

// writeRuns writes a CSV file with a row for each run.
func writeRuns(path string, results []*scenario.Result) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	header := []string{"script", "members", "seed", "hash"}
	for _, figure := range results[0].Figures() {
		header = append(header, figure.Name)
	}
	rows := [][]string{header}
	for _, r := range results {
		row := []string{r.Scenario, strconv.Itoa(r.Members), strconv.FormatUint(r.Seed, 10), r.Hash}
		for _, figure := range r.Figures() {
			row = append(row, strconv.FormatFloat(figure.Measured, 'f', 1, 64))
		}
		rows = append(rows, row)
	}
	return errors.Join(csv.NewWriter(f).WriteAll(rows), f.Close())
}
