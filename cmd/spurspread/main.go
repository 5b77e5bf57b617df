package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"

	"spurspread/internal/logging"
)

// Exit codes.
const (
	exitOK     = iota
	exitFailed // the command failed; a line on standard error says why
	exitUsage  // the command line can't be understood
)

const (
	notExited = -1  // no exit code
	helpWidth = 100 // columns
)

// cli is the command line. Without a command, as the platform starts it, it serves.
type cli struct {
	Serve serve `cmd:"" default:"withargs" help:"Serve as a balancer until SIGTERM; what is done without a command."`

	Site    siteCmds   `cmd:"" help:"Look after site files."`
	Token   tokenCmds  `cmd:"" help:"Look after resume tokens and their keys."`
	Members membersCmd `cmd:"" help:"Show the fleet of balancers as one member sees it."`
	Record  recordCmd  `cmd:"" help:"Publish a small named value to the whole fleet of balancers."`
	Version versionCmd `cmd:"" help:"Print the version and how it was built."`

	LogFormat logging.Format `enum:"text,json" default:"text" env:"SPURSPREAD_LOG_FORMAT" help:"How log lines are written: text or json."`
}

// streams are a command's environment and output.
type streams struct {
	getenv   func(string) string
	out, err io.Writer
	format   logging.Format
}

func main() {
	os.Exit(run(os.Args[1:], &streams{getenv: os.Getenv, out: os.Stdout, err: os.Stderr}))
}

// run carries out a command line and returns the exit code.
func run(args []string, s *streams) int {
	var c cli
	exited := notExited
	parser, err := kong.New(
		&c,
		kong.Name("spurspread"),
		kong.Writers(s.out, s.err),
		kong.Description(
			"A balancer for long-lived connections.\n\nWithout a command it serves, told by GW_CONFIG's file.",
		),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: helpWidth}),
		kong.Exit(func(code int) { exited = code }),
	)
	if err != nil {
		panic(err) // a tag of cli is wrong
	}
	ctx, err := parser.Parse(args)
	if exited != notExited { // --help has been printed
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

// oneLine is the text of joined errors on one line.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

// versionCmd prints how the program was built.
type versionCmd struct{}

// Run prints the version and revision that the linker has recorded.
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

// version is the module version that the linker has recorded; "devel" for a build that is no release.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" || strings.HasPrefix(info.Main.Version, "(") {
		return "devel"
	}
	return info.Main.Version
}
