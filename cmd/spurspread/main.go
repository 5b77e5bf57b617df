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
	exitUsage  // the command line is invalid
)

const (
	notExited = -1  // kong has not asked to exit
	helpWidth = 100 // greatest width of help texts, in columns
)

// cli defines the command line. The platform starts the program without a command, which serves.
type cli struct {
	Serve serveCmd `cmd:"" default:"withargs" help:"Serve as a balancer until SIGTERM (the default command)."`

	Site    siteCmds   `cmd:"" help:"Check site files and print their schema."`
	Token   tokenCmds  `cmd:"" help:"Inspect resume tokens and create keys."`
	Members membersCmd `cmd:"" help:"Show the fleet of balancers as one member sees it."`
	Record  recordCmd  `cmd:"" help:"Publish a small named value to the whole fleet of balancers."`
	Version versionCmd `cmd:"" help:"Print the version and how it was built."`

	LogFormat logging.Format `enum:"text,json" default:"text" env:"SPURSPREAD_LOG_FORMAT" help:"Format of log lines: text or json."`
}

// environment holds what a command gets from its surroundings: the environment variables, where to write, and the log
// format.
type environment struct {
	getenv   func(string) string
	out, err io.Writer
	format   logging.Format
}

func main() {
	os.Exit(run(os.Args[1:], &environment{getenv: os.Getenv, out: os.Stdout, err: os.Stderr}))
}

// run parses and executes a command line, and returns the exit code.
func run(args []string, s *environment) int {
	var c cli
	exited := notExited
	parser, err := kong.New(
		&c,
		kong.Name("spurspread"),
		kong.Writers(s.out, s.err),
		kong.Description(
			"A balancer for long-lived connections.\n\nWithout a command it serves, configured by GW_CONFIG's file.",
		),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: helpWidth}),
		kong.Exit(func(code int) { exited = code }),
	)
	if err != nil {
		panic(err) // a struct tag of cli is invalid
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

// oneLine returns the text of err, such as of joined errors, on one line.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

// versionCmd prints how the program was built.
type versionCmd struct{}

// Run prints the version and the revision that are recorded in the binary.
func (versionCmd) Run(s *environment) error {
	revision, changed := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			switch {
			case setting.Key == "vcs.revision":
				revision = setting.Value
			case setting.Key == "vcs.modified" && setting.Value == "true":
				changed = ", changed since"
			}
		}
	}
	_, err := fmt.Fprintf(s.out, "spurspread %s, revision %s%s\n", version(), revision, changed)
	return err
}

// version returns the module version that is recorded in the binary, or "devel" if the build is not of a release.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" || strings.HasPrefix(info.Main.Version, "(") {
		return "devel"
	}
	return info.Main.Version
}
