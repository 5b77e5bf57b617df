// Command spurspread-lab is the laboratory: it runs experiments on an emulated deployment, on loopback, against real
// balancers, and measures balancers and members beside them. It has the command line, and must have nothing else:
// what is run and how it is judged is in the packages of lab.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// The exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// helpWidth is the greatest width of help texts, in columns.
const helpWidth = 100

type cli struct {
	Run     runCmd     `cmd:"" help:"Play an experiment; exits with 0 only if all its bounds hold."`
	List    listCmd    `cmd:"" help:"List the experiments."`
	Virtual virtualCmd `cmd:"" help:"Play members of a fleet in virtual time, on many seeds; exits with 0 only if all bounds hold."`
	Lines   linesCmd   `cmd:"" help:"Measure how many lines two balancers pass on, in turn."`
	Hollow  hollowCmd  `cmd:"" name:"hollow-members" hidden:"" help:"Be hollow members of a scale run, which starts this."`
}

// streams are where commands write.
type streams struct{ out, err io.Writer }

// errBoundBroken is the error of a run that broke a bound; the table that was printed shows which.
var errBoundBroken = errors.New("a bound does not hold")

func main() { os.Exit(run(os.Args[1:], &streams{os.Stdout, os.Stderr})) }

// run runs the command that the arguments name, and returns the exit code.
func run(args []string, s *streams) int {
	var c cli
	exitCode := -1 // of help, which is printed while the arguments are parsed
	parser, err := kong.New(&c, kong.Name("spurspread-lab"), kong.Writers(s.out, s.err),
		kong.Description("The laboratory of spurspread: emulated deployments, on loopback, with real balancers."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: helpWidth}),
		kong.Exit(func(code int) { exitCode = code }))
	if err != nil {
		panic(err) // the tags of cli are wrong
	}
	ctx, err := parser.Parse(args)
	if exitCode >= 0 {
		return exitCode
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
