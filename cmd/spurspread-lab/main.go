// Command spurspread-lab is the laboratory: it plays experiments on an emulated deployment, on loopback, against
// real balancers. This package knows arguments and wiring, and nothing else.
package main

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"slices"
	"spurspread/lab/experiment"
	"spurspread/lab/loadgen"
	"spurspread/lab/members"
	"spurspread/lab/node"
	"spurspread/lab/report"
	"spurspread/lab/scenario"
	"spurspread/lab/simulation"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// The exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

type cli struct {
	Run     runCmd     `cmd:"" help:"Play an experiment; exits with 0 only if all its bounds hold."`
	List    listCmd    `cmd:"" help:"List the experiments."`
	Virtual virtualCmd `cmd:"" help:"Play members of a fleet in virtual time, on many seeds; exits with 0 only if all bounds hold."`
	Lines   linesCmd   `cmd:"" help:"Measure how many lines two balancers pass on, in turn."`
	Hollow  hollowCmd  `cmd:"" name:"hollow-members" hidden:"" help:"Be hollow members of a scale run, which starts this."`
}

type streams struct{ out, err io.Writer }

// errBoundBroken says that a bound does not hold; the table has told which.
var errBoundBroken = errors.New("a bound does not hold")

func main() { os.Exit(run(os.Args[1:], &streams{os.Stdout, os.Stderr})) }

func run(args []string, s *streams) int {
	var c cli
	exited := -1
	parser, err := kong.New(&c, kong.Name("spurspread-lab"), kong.Writers(s.out, s.err),
		kong.Description("The laboratory of spurspread: emulated deployments, on loopback, with real balancers."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
		kong.Exit(func(code int) { exited = code }))
	if err != nil {
		panic(err) // the struct above is at fault
	}
	ctx, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		_, _ = fmt.Fprintf(s.err, "spurspread-lab: %v; see spurspread-lab --help\n", err)
		return exitUsage
	}
	if err := ctx.Run(s); err != nil {
		_, _ = fmt.Fprintln(s.err, "spurspread-lab:", err)
		return exitFailed
	}
	return exitOK
}

type listCmd struct{}

// Run lists them, with what each shows.
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

// runner is an experiment of any kind.
type runner interface {
	Run(ctx context.Context, o experiment.Options) (*report.Report, error)
}

// find finds an experiment by its name, and what it is about.
func find(name string) (runner, string, error) {
	if slices.Contains(members.Names(), name) {
		t, err := members.Find(name)
		return t, string(t.About), err
	}
	if s := findScale(name); s != nil {
		return s, s.About, nil
	}
	e, err := experiment.Find(name)
	if err != nil {
		return nil, "", err
	}
	return e, string(e.About), nil
}

type runCmd struct {
	Name       string `arg:"" help:"The experiment, see spurspread-lab list; or a file (.xml) of one's own."`
	Seed       uint64 `default:"1" help:"Draws arrivals, ids and the times of faults."`
	Repeat     int    `default:"1" help:"Play it so often, each time with the next seed."`
	Jobs       int    `default:"1" help:"Play so many at once."`
	JSON       string `name:"json" placeholder:"FILE" help:"Where to write the report for scripts."`
	Out        string `placeholder:"DIR" help:"Where to keep the report: JSON, CSV and charts."`
	Spurspread string `placeholder:"FILE" help:"The balancer's program; beside this one if not given."`
	Quiet      bool   `help:"Print the table only."`
	Plant      string `enum:",forget-claims,skip-message,repeat-message,no-delegate,every-delegate,wrong-summary" default:"" placeholder:"FAULT" help:"Plant a fault, to see that the checker finds it. In nodes: forget-claims, skip-message or repeat-message. In hollow members of scale runs: no-delegate, every-delegate or wrong-summary."`
	scaleFlags `group:"Scale runs (scale-...)"`
}

// Help is shown below the command's own line.
func (runCmd) Help() string {
	return "Plays the experiment once, on loopback, with balancers as processes of their own, and prints a " +
		"table of its bounds\n" + `and figures. The bounds hold for any seed.

Example:
  spurspread-lab run token-drain --seed 7 --out /tmp/token-drain`
}

// Run plays one experiment.
func (c *runCmd) Run(s *streams) error {
	e, _, err := find(c.Name)
	if err != nil {
		return err
	}
	if err := c.apply(e, c.Name, c.Plant); err != nil {
		return err
	}
	program, err := program(c.Spurspread)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), unix.SIGINT, unix.SIGTERM)
	defer stop()
	o := experiment.Options{Program: program, Commit: commit(), Fault: node.Fault(c.Plant)}
	if !c.Quiet {
		o.Progress = s.err
	}
	all := make(report.Repeats, max(c.Repeat, 1))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(c.Jobs, 1))
	for i := range all {
		o := o // each run has its own
		o.Seed = c.Seed + uint64(i)
		o.Command = fmt.Sprintf("bin/spurspread-lab run %s --seed %d%s", c.Name, o.Seed, c.asWritten())
		group.Go(func() (err error) {
			all[i], err = e.Run(ctx, o)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return c.writeReport(s, all)
}

// writeReport prints and keeps what was measured.
func (c *runCmd) writeReport(s *streams, all report.Repeats) error {
	var err error
	if len(all) > 1 {
		err = all.Table(s.out)
	} else {
		err = all[0].Table(s.out)
	}
	if err == nil && c.JSON != "" {
		err = all[0].JSON(c.JSON)
	}
	if err == nil && c.Out != "" {
		err = all.Keep(c.Out)
	}
	if err == nil && !all.Pass() {
		err = errBoundBroken
	}
	return err
}

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

// Help is shown below the command's own line.
func (virtualCmd) Help() string {
	return "Plays the deciders of many members in virtual time: the same seed brings the same events, and the " +
		"same hash of them. Each play\n" + `that breaks a bound is told with the command that plays it again.

Examples:
  spurspread-lab virtual loss --members 24 --seed 4 --log
  spurspread-lab virtual --repeat 200`
}

// Run plays, and prints what broke and a row for each script.
func (c *virtualCmd) Run(s *streams) error {
	scripts := scenario.Names()
	if c.Script != "" {
		scripts = []string{c.Script}
	}
	build := simulation.Members(3)
	if c.Way != "" {
		if build = simulation.Alternatives()[c.Way]; build == nil {
			return fmt.Errorf("no way %q", c.Way)
		}
	}
	if c.Plant != "" {
		if simulation.Faults()[c.Plant] == nil {
			return fmt.Errorf("no fault %q", c.Plant)
		}
		build = simulation.WithFault(c.Plant, build)
	}
	var log func(string, ...any)
	if c.Log {
		log = func(format string, args ...any) { _, _ = fmt.Fprintf(s.out, format+"\n", args...) }
	}
	var all []*scenario.Result
	broken := 0
	for _, script := range scripts {
		got, err := c.runRepeats(script, build, log)
		if err != nil {
			return err
		}
		for _, r := range got {
			for _, b := range r.Broken() {
				broken++
				_, _ = fmt.Fprintf(
					s.out,
					"%s, %d members: %s; again: bin/spurspread-lab virtual %s --members %d --seed %d\n",
					script,
					r.Members,
					b,
					script,
					r.Members,
					r.Seed,
				)
			}
		}
		if _, err := fmt.Fprintln(s.out, summary(script, got)); err != nil {
			return err
		}
		all = append(all, got...)
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

// runRepeats plays one script with as many seeds as were asked for, several at once.
func (c *virtualCmd) runRepeats(
	script string, build func(w *simulation.Cluster, i, start int) simulation.Detector, log func(string, ...any),
) ([]*scenario.Result, error) {
	got := make([]*scenario.Result, max(c.Repeat, 1))
	var group errgroup.Group
	group.SetLimit(max(c.Jobs, 1))
	for i := range got {
		seed := c.Seed + uint64(i)
		members := c.Members
		if members == 0 {
			sizes := []int{3, 5, 8, 16, 24}
			members = sizes[seed%uint64(len(sizes))]
		}
		group.Go(func() (err error) {
			got[i], err = simulation.Play(script, members, seed, build, log)
			return err
		})
	}
	return got, group.Wait()
}

// summary is a line on all plays of a script.
func summary(script string, all []*scenario.Result) string {
	var bytes, seen []float64
	for _, r := range all {
		bytes, seen = append(bytes, r.BytesPerS), append(seen, r.DetectionQuantile(0.99).Seconds())
	}
	return fmt.Sprintf(
		"%-10s %d plays; bytes a second and member %.0f, at most %.0f; crashes seen (p99 of a play) after %.2f s, "+
			"at most %.2f s; hash of the first %s",
		script,
		len(all),
		report.Quantile(bytes, 0.5),
		report.Quantile(bytes, 1),
		report.Quantile(seen, 0.5),
		report.Quantile(seen, 1),
		all[0].Hash,
	)
}

// writeRuns writes a row for each play.
func writeRuns(path string, all []*scenario.Result) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	rows := [][]string{{"script", "members", "seed", "hash"}}
	for i, r := range all {
		row := []string{r.Scenario, strconv.Itoa(r.Members), strconv.FormatUint(r.Seed, 10), r.Hash}
		for _, one := range r.Figures() {
			if i == 0 {
				rows[0] = append(rows[0], one.Name)
			}
			row = append(row, strconv.FormatFloat(one.Measured, 'f', 1, 64))
		}
		rows = append(rows, row)
	}
	return errors.Join(csv.NewWriter(f).WriteAll(rows), f.Close())
}

type linesCmd struct {
	Old    string        `placeholder:"FILE" help:"The program to compare with; without it, channels are compared with plain lines."`
	New    string        `placeholder:"FILE" help:"The program; beside this one if not given."`
	Rounds int           `default:"10" help:"How often each is measured."`
	Conns  int           `default:"32" help:"Connections."`
	Span   time.Duration `default:"2s" help:"How long each measurement lasts."`
}

// Help is shown below the command's own line.
func (linesCmd) Help() string {
	return `Measures two programs in turn, or one with plain lines and with channels.

Examples:
  spurspread-lab lines --old /tmp/spurspread.before --rounds 10
  spurspread-lab lines --conns 64`
}

// Run prints a row for each round, and the ratios.
func (c *linesCmd) Run(s *streams) error {
	program, err := program(c.New)
	if err != nil {
		return err
	}
	var bySecond, byCPU []float64
	old, names := c.Old, [2]string{"old", "new"}
	channels := old == ""
	if channels {
		old, names = program, [2]string{"plain", "channels"}
	}
	for i := range c.Rounds {
		// Which one goes first changes: what the first leaves warm must not always help the other.
		var got [2]loadgen.Sample
		for k := range 2 {
			which := (i + k) % 2
			if got[which], err = loadgen.Measure(
				[]string{old, program}[which], c.Conns, c.Span, channels && which == 1,
			); err != nil {
				return err
			}
		}
		bySecond = append(bySecond, got[1].PerSecond/got[0].PerSecond)
		byCPU = append(byCPU, got[1].PerCPU/got[0].PerCPU)
		_, err = fmt.Fprintf(
			s.out,
			"%s %8.0f lines/s, %8.0f a CPU second; %s %8.0f, %8.0f; ratio %.3f, %.3f\n",
			names[0],
			got[0].PerSecond,
			got[0].PerCPU,
			names[1],
			got[1].PerSecond,
			got[1].PerCPU,
			bySecond[i],
			byCPU[i],
		)
		if err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(
		s.out,
		names[1]+" over "+names[0]+", median of %d rounds: %.3f lines a second, %.3f lines a CPU second\n",
		c.Rounds,
		report.Quantile(bySecond, 0.5),
		report.Quantile(byCPU, 0.5),
	)
	return err
}

// program finds the balancer: the one that is named, or the one beside this program.
func program(named string) (string, error) {
	if named != "" {
		return named, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), "spurspread")
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("no balancer beside this program (%w); build it with make, or name it", err)
	}
	return path, nil
}

// commit is the revision that the program was built from, or where the builder did not note it, that of the checkout in
// which it runs; a plus says that files were changed since.
func commit() string {
	var revision, changed string
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, set := range info.Settings {
			switch {
			case set.Key == "vcs.revision":
				revision = set.Value[:min(len(set.Value), 10)]
			case set.Key == "vcs.modified" && set.Value == "true":
				changed = "+"
			}
		}
	}
	if revision != "" {
		return revision + changed
	}
	head, err := exec.Command("git", "rev-parse", "--short=10", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	if exec.Command("git", "diff", "--quiet", "HEAD", "--", "*.go", "*.xml").Run() != nil {
		changed = "+"
	}
	return strings.TrimSpace(string(head)) + changed
}
