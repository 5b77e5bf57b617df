package main

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"slices"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"spurspread/lab/experiment"
	"spurspread/lab/members"
	"spurspread/lab/node"
	"spurspread/lab/report"
)

// listCmd lists the experiments.
type listCmd struct{}

// Run prints the name and the description of each experiment.
func (listCmd) Run(s *streams) error {
	for _, name := range slices.Concat(experiment.Names(), members.Names(), scaleNames()) {
		_, about, err := find(name)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(s.out, "%-18s %s\n", name, about); err != nil {
			return err
		}
	}
	return nil
}

// runner is an experiment of any kind: of package experiment, of package members, or a scale run.
type runner interface {
	Run(ctx context.Context, o experiment.Options) (*report.Report, error)
}

// find returns the experiment with this name, of any kind, and its description.
func find(name string) (e runner, about string, err error) {
	if slices.Contains(members.Names(), name) {
		t, err := members.Find(name)
		if err != nil {
			return nil, "", err
		}
		return t, string(t.About), nil
	}
	if s := findScale(name); s != nil {
		return s, s.About, nil
	}
	x, err := experiment.Find(name)
	if err != nil {
		return nil, "", err
	}
	return x, string(x.About), nil
}

// runCmd runs one experiment.
type runCmd struct {
	Name       string `arg:"" help:"The name of an experiment, see spurspread-lab list, or the path of an experiment file (.xml)."`
	Seed       uint64 `default:"1" help:"The seed that arrivals, IDs and the times of faults are drawn from."`
	Repeat     int    `default:"1" help:"Number of runs, each with the next seed."`
	Jobs       int    `default:"1" help:"Number of runs at the same time."`
	JSON       string `name:"json" placeholder:"FILE" help:"Write the report of the first run to this file (JSON)."`
	Out        string `placeholder:"DIR" help:"Write the reports to this directory: JSON, CSV and charts."`
	Spurspread string `placeholder:"FILE" help:"The balancer program; by default the one beside this program."`
	Quiet      bool   `help:"Do not print progress."`
	Fault      string `name:"plant" enum:",forget-claims,skip-message,repeat-message,no-delegate,every-delegate,wrong-summary" default:"" placeholder:"FAULT" help:"Inject a fault, to test that the checks detect it. In nodes: forget-claims, skip-message or repeat-message. In stub members of scale runs: no-delegate, every-delegate or wrong-summary."`
	scaleFlags `group:"Scale runs (scale-...)"`
}

// Help returns the command's long help text.
func (runCmd) Help() string {
	return "Runs the experiment on loopback, with each balancer as a process, and prints a table of its bounds and " +
		"figures.\n" + `The bounds must hold for any seed.

Example:
  spurspread-lab run token-drain --seed 7 --out /tmp/token-drain`
}

// Run runs the experiment with each seed, and writes the report. It returns errBoundBroken if a bound does not hold.
func (c *runCmd) Run(s *streams) error {
	e, _, err := find(c.Name)
	if err != nil {
		return err
	}
	if err := c.applyTo(e, c.Name, c.Fault); err != nil {
		return err
	}
	program, err := balancerProgram(c.Spurspread)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), unix.SIGINT, unix.SIGTERM)
	defer stop()
	o := experiment.Options{Program: program, Commit: commit(), Fault: node.Fault(c.Fault)}
	if !c.Quiet {
		o.Progress = s.err
	}
	all, err := c.runRepeats(ctx, e, o)
	if err != nil {
		return err
	}
	return c.writeReport(s, all)
}

// runRepeats runs the experiment with each seed, at most Jobs at the same time.
func (c *runCmd) runRepeats(ctx context.Context, e runner, o experiment.Options) (report.Repeats, error) {
	all := make(report.Repeats, max(c.Repeat, 1))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(c.Jobs, 1))
	for i := range all {
		one := o
		one.Seed = c.Seed + uint64(i)
		one.Command = fmt.Sprintf("bin/spurspread-lab run %s --seed %d%s", c.Name, one.Seed, c.commandLine())
		group.Go(func() (err error) {
			all[i], err = e.Run(ctx, one)
			return err
		})
	}
	return all, group.Wait()
}

// writeReport prints the table and writes the requested files. It returns errBoundBroken if a bound does not hold.
func (c *runCmd) writeReport(s *streams, all report.Repeats) error {
	if err := writeTable(s.out, all); err != nil {
		return err
	}
	if c.JSON != "" {
		if err := all[0].JSON(c.JSON); err != nil {
			return err
		}
	}
	if c.Out != "" {
		if err := all.Save(c.Out); err != nil {
			return err
		}
	}
	if !all.Pass() {
		return errBoundBroken
	}
	return nil
}

// writeTable prints the report if there is one run, and else the summary of all.
func writeTable(to io.Writer, all report.Repeats) error {
	if len(all) == 1 {
		return all[0].Table(to)
	}
	return all.Table(to)
}
