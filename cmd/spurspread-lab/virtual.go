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

// virtualCmd runs scripts of faults on members in virtual time.
type virtualCmd struct {
	Script  string `arg:"" optional:"" help:"What is done to the members; every script in turn if none is named."`
	Members int    `default:"0" help:"How many there are; 3 to 24, by seed, if not given."`
	Seed    uint64 `default:"1" help:"The first seed."`
	Repeat  int    `default:"1" help:"Play each script so often, each time with the next seed."`
	Jobs    int    `default:"4" help:"Play so many at once."`
	Plant   string `placeholder:"FAULT" help:"Plant a fault in the members, to see that the checker finds it: same-incarnation, blind-to-pauses or one-observer."`
	Way     string `placeholder:"WAY" help:"Play a way that was not taken: heartbeats, phi or swim."`
	Log     bool   `help:"Tell what is done, and what is found."`
	Out     string `placeholder:"FILE" help:"Where to write a row for each play (CSV)."`
}

// Help is the command's long help.
func (virtualCmd) Help() string {
	return "Plays the deciders of many members in virtual time: the same seed brings the same events, and the " +
		"same hash of them. Each play\n" + `that breaks a bound is told with the command that plays it again.

Examples:
  spurspread-lab virtual loss --members 24 --seed 4 --log
  spurspread-lab virtual --repeat 200`
}

// Run runs the scripts, and prints the broken bounds and a row for each script. A broken bound is errBoundBroken.
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
		broken += printBroken(s.out, results)
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

// seedsOfMembers is how many members are the seeds of the others.
const seedsOfMembers = 3

// builder makes the members: those of the project or of another algorithm, with a fault if one is named.
func (c *virtualCmd) builder() (build detectorBuilder, err error) {
	build = simulation.BalancerMembers(seedsOfMembers)
	if c.Way != "" {
		build = simulation.Alternatives()[c.Way]
		if build == nil {
			return nil, fmt.Errorf("no way %q", c.Way)
		}
	}
	if c.Plant == "" {
		return build, nil
	}
	if simulation.Faults()[c.Plant] == nil {
		return nil, fmt.Errorf("no fault %q", c.Plant)
	}
	return simulation.WithFault(c.Plant, build), nil
}

// detectorBuilder makes member i of a cluster, for its start of this number.
type detectorBuilder = func(w *simulation.Cluster, i, start int) simulation.Detector

// runRepeats runs one script with each seed, Jobs at the same time.
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

// membersFor is the number of members: the one that was given, or one by the seed.
func (c *virtualCmd) membersFor(seed uint64) int {
	if c.Members != 0 {
		return c.Members
	}
	sizes := []int{3, 5, 8, 16, 24}
	return sizes[seed%uint64(len(sizes))]
}

// printBroken prints a line for each broken bound, with the command that repeats its run, and returns their number.
func printBroken(to io.Writer, results []*scenario.Result) (broken int) {
	for _, r := range results {
		for _, bound := range r.Broken() {
			broken++
			_, _ = fmt.Fprintf(to, "%s, %d members: %s; again: bin/spurspread-lab virtual %s --members %d --seed %d\n",
				r.Scenario, r.Members, bound, r.Scenario, r.Members, r.Seed)
		}
	}
	return broken
}

// summary is a line on all runs of a script.
func summary(script string, results []*scenario.Result) string {
	var bytes, detections []float64
	for _, r := range results {
		bytes = append(bytes, r.BytesPerS)
		detections = append(detections, r.DetectionQuantile(0.99).Seconds())
	}
	return fmt.Sprintf(
		"%-10s %d plays; bytes a second and member %.0f, at most %.0f; crashes seen (p99 of a play) after %.2f s, "+
			"at most %.2f s; hash of the first %s",
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
	head := []string{"script", "members", "seed", "hash"}
	for _, figure := range results[0].Figures() {
		head = append(head, figure.Name)
	}
	rows := [][]string{head}
	for _, r := range results {
		row := []string{r.Scenario, strconv.Itoa(r.Members), strconv.FormatUint(r.Seed, 10), r.Hash}
		for _, figure := range r.Figures() {
			row = append(row, strconv.FormatFloat(figure.Measured, 'f', 1, 64))
		}
		rows = append(rows, row)
	}
	return errors.Join(csv.NewWriter(f).WriteAll(rows), f.Close())
}
