// Command spurspread-lab is the laboratory: it runs experiments with real balancers in an emulated deployment on
// loopback, simulates members of a fleet in virtual time, and compares the throughput of balancers. The package must
// contain only the command line; the experiments and the checks of their results are in the packages of lab.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// helpWidth is the greatest width of help texts, in columns.
const helpWidth = 100

// cli defines the command line.
type cli struct {
	Run         runCmd         `cmd:"" help:"Run an experiment; exits with 0 only if all its bounds hold."`
	List        listCmd        `cmd:"" help:"List the experiments."`
	Virtual     virtualCmd     `cmd:"" help:"Simulate members of a fleet in virtual time, on many seeds; exits with 0 only if all bounds hold."`
	Lines       linesCmd       `cmd:"" help:"Compare how many lines two balancers forward."`
	Abuse       abuseCmd       `cmd:"" help:"Run clients that cost a balancer more than they should; exits with 0 only if all bounds hold."`
	StubMembers stubMembersCmd `cmd:"" name:"hollow-members" hidden:"" help:"Run stub members of a scale run; the scale run starts this process itself."`
}

// streams are the output streams of a command.
type streams struct{ out, err io.Writer }

// errBoundBroken reports a run in which a bound does not hold; the printed results show which.
var errBoundBroken = errors.New("a bound does not hold")

func main() { os.Exit(run(os.Args[1:], &streams{os.Stdout, os.Stderr})) }

// run parses and executes a command line, and returns the exit code.
func run(args []string, s *streams) int {
	var c cli
	exitCode := -1 // kong sets it after printing help, which it does while parsing
	parser, err := kong.New(&c, kong.Name("spurspread-lab"), kong.Writers(s.out, s.err),
		kong.Description("The laboratory of spurspread: experiments with real balancers on loopback."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: helpWidth}),
		kong.Exit(func(code int) { exitCode = code }))
	if err != nil {
		panic(err) // a struct tag of cli is invalid
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
