package main

import (
	"fmt"
	"slices"
	"time"

	"spurspread/lab/abuse"
)

// abuseCmd plays clients that cost a balancer more than they should.
type abuseCmd struct {
	Play     string        `arg:"" optional:"" help:"The play; all without one."`
	Program  string        `placeholder:"FILE" help:"The balancer program; by default the one beside this program."`
	Channels bool          `help:"Play on multiplexed channels instead of plain lines."`
	Seed     uint64        `default:"1" help:"Seed of the balancer."`
	Span     time.Duration `default:"3s" help:"Duration of each phase."`
}

// Help returns the command's long help text.
func (abuseCmd) Help() string {
	text := "Plays misuse against one balancer with the platform's limits, beside sound clients:\n\n"
	for _, play := range abuse.Plays() {
		text += fmt.Sprintf("  %-9s %s\n", play.Name, play.About)
	}
	return text + "\nExample:\n  spurspread-lab abuse holders --channels --seed 7"
}

// Run prints a line of figures for each play.
func (c *abuseCmd) Run(s *streams) error {
	program, err := balancerProgram(c.Program)
	if err != nil {
		return err
	}
	broken := false
	plays := slices.DeleteFunc(abuse.Plays(), func(p abuse.Play) bool { return c.Play != "" && c.Play != p.Name })
	for _, play := range plays {
		options := abuse.Options{Program: program, Channels: c.Channels, Seed: c.Seed, Span: c.Span}
		result, err := abuse.Run(play, options)
		if err != nil {
			return fmt.Errorf("%s: %w", play.Name, err)
		}
		_, _ = fmt.Fprintf(s.out, "%s --channels=%t --seed %d: %+v\n", play.Name, c.Channels, c.Seed, *result)
		if err := result.Err(); err != nil {
			broken = true
			_, _ = fmt.Fprintf(s.out, "  broken: %v\n", err)
		}
	}
	if broken {
		return errBoundBroken
	}
	return nil
}
