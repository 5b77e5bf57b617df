package main

import (
	"fmt"
	"slices"
	"time"

	"spurspread/lab/abuse"
)

// abuseCmd runs clients that cost a balancer more than they should.
type abuseCmd struct {
	Scenario string        `arg:"" optional:"" help:"The scenario; all without one."`
	Program  string        `placeholder:"FILE" help:"The balancer program; by default the one beside this program."`
	Channels bool          `help:"Use multiplexed channels instead of plain lines."`
	Seed     uint64        `default:"1" help:"Seed of the balancer."`
	Span     time.Duration `default:"3s" help:"Duration of each phase."`
}

// Help returns the command's long help text.
func (abuseCmd) Help() string {
	text := "Runs misuse against one balancer with the platform's limits, beside sound clients:\n\n"
	for _, scenario := range abuse.Scenarios() {
		text += fmt.Sprintf("  %-9s %s\n", scenario.Name, scenario.About)
	}
	return text + "\nExample:\n  spurspread-lab abuse holders --channels --seed 7"
}

// Run prints a line of figures for each scenario.
func (c *abuseCmd) Run(s *streams) error {
	program, err := balancerProgram(c.Program)
	if err != nil {
		return err
	}
	broken := false
	scenarios := slices.DeleteFunc(abuse.Scenarios(), func(scenario abuse.Scenario) bool {
		return c.Scenario != "" && c.Scenario != scenario.Name
	})
	for _, scenario := range scenarios {
		options := abuse.Options{Program: program, Channels: c.Channels, Seed: c.Seed, Span: c.Span}
		result, err := abuse.Run(scenario, options)
		if err != nil {
			return fmt.Errorf("%s: %w", scenario.Name, err)
		}
		_, _ = fmt.Fprintf(s.out, "%s --channels=%t --seed %d: %+v\n", scenario.Name, c.Channels, c.Seed, *result)
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
