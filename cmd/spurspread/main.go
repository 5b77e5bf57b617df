// Command spurspread is one balancer for long-lived connections: it takes clients in, has the decision module place
// them on egress targets, and passes their lines on until they end or move. Its sub-commands look after what it is
// told. This package knows arguments and wiring, and nothing else.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"spurspread/internal/logging"
	"strings"

	"github.com/alecthomas/kong"
)

// The exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// cli is the command line. Without a command it serves, as the platform starts it.
type cli struct {
	Serve   serve      `cmd:"" default:"withargs" help:"Serve as a balancer until SIGTERM; what is done without a command."`
	Site    siteCmds   `cmd:"" help:"Look after site files."`
	Token   tokenCmds  `cmd:"" help:"Look after resume tokens and their keys."`
	Members membersCmd `cmd:"" help:"Show the fleet of balancers as one member sees it."`
	Record  recordCmd  `cmd:"" help:"Publish a small named value to the whole fleet of balancers."`
	Version versionCmd `cmd:"" help:"Print the version and how it was built."`

	LogFormat logging.Format `enum:"text,json" default:"text" env:"SPURSPREAD_LOG_FORMAT" help:"How log lines are written: text or json."`
}

// streams are where a command reads its environment and writes what it has to say.
type streams struct {
	getenv   func(string) string
	out, err io.Writer
	format   logging.Format
}

func main() {
	os.Exit(run(os.Args[1:], &streams{getenv: os.Getenv, out: os.Stdout, err: os.Stderr}))
}

// run carries out a command line and returns the exit code.
func run(args []string, s *streams) (code int) {
	var c cli
	exited := -1
	parser, err := kong.New(
		&c,
		kong.Name("spurspread"),
		kong.Writers(s.out, s.err),
		kong.Description(
			"A balancer for long-lived connections.\n\nWithout a command it serves, told by GW_CONFIG's file.",
		),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
		kong.Exit(func(code int) { exited = code }),
	)
	if err != nil {
		panic(err) // the struct above is at fault
	}
	ctx, err := parser.Parse(args)
	if exited >= 0 { // help was asked for and given
		return exited
	}
	if err != nil {
		_, _ = fmt.Fprintf(s.err, "spurspread: %v; see spurspread --help\n", err)
		return exitUsage
	}
	s.format = c.LogFormat
	if err := ctx.Run(s); err != nil {
		_, _ = fmt.Fprintln(s.err, "spurspread:", oneLine(err))
		return exitFailed
	}
	return exitOK
}

// oneLine joins what several errors say.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

type versionCmd struct{}

// Run prints what the linker knows.
func (versionCmd) Run(s *streams) error {
	revision, changed := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, set := range info.Settings {
			switch {
			case set.Key == "vcs.revision":
				revision = set.Value
			case set.Key == "vcs.modified" && set.Value == "true":
				changed = ", changed since"
			}
		}
	}
	_, err := fmt.Fprintf(s.out, "spurspread %s, revision %s%s\n", version(), revision, changed)
	return err
}

// version is the module's, as the linker knows it; without a release it is "devel".
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" || strings.HasPrefix(info.Main.Version, "(") {
		return "devel"
	}
	return info.Main.Version
}
