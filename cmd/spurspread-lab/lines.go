package main

import (
	"fmt"
	"time"

	"spurspread/lab/loadgen"
	"spurspread/lab/report"
)

// linesCmd compares the throughput of two programs, or of plain lines and channels.
type linesCmd struct {
	Old    string        `placeholder:"FILE" help:"The program to compare with; without it, channels are compared with plain lines."`
	New    string        `placeholder:"FILE" help:"The program; beside this one if not given."`
	Rounds int           `default:"10" help:"How often each is measured."`
	Conns  int           `default:"32" help:"Connections."`
	Span   time.Duration `default:"2s" help:"How long each measurement lasts."`
}

// Help is the command's long help.
func (linesCmd) Help() string {
	return `Measures two programs in turn, or one with plain lines and with channels.

Examples:
  spurspread-lab lines --old /tmp/spurspread.before --rounds 10
  spurspread-lab lines --conns 64`
}

// Run prints a row for each round, and the median ratios.
func (c *linesCmd) Run(s *streams) error {
	compared, err := c.compared()
	if err != nil {
		return err
	}
	var bySecond, byCPU []float64
	for round := range c.Rounds {
		samples, err := c.measureRound(round, compared)
		if err != nil {
			return err
		}
		bySecond = append(bySecond, samples[1].PerSecond/samples[0].PerSecond)
		byCPU = append(byCPU, samples[1].PerCPU/samples[0].PerCPU)
		_, err = fmt.Fprintf(s.out, "%s %8.0f lines/s, %8.0f a CPU second; %s %8.0f, %8.0f; ratio %.3f, %.3f\n",
			compared[0].name, samples[0].PerSecond, samples[0].PerCPU,
			compared[1].name, samples[1].PerSecond, samples[1].PerCPU,
			bySecond[round], byCPU[round])
		if err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(s.out, "%s over %s, median of %d rounds: %.3f lines a second, %.3f lines a CPU second\n",
		compared[1].name, compared[0].name, c.Rounds,
		report.Quantile(bySecond, 0.5), report.Quantile(byCPU, 0.5))
	return err
}

// measured is one of the two that are compared.
type measured struct {
	name     string
	program  string
	channels bool
}

// compared are the old and the new program, or without an old one the new one with plain lines and with channels.
func (c *linesCmd) compared() (compared [2]measured, err error) {
	program, err := balancerProgram(c.New)
	if err != nil {
		return compared, err
	}
	if c.Old != "" {
		return [2]measured{{name: "old", program: c.Old}, {name: "new", program: program}}, nil
	}
	return [2]measured{{name: "plain", program: program}, {name: "channels", program: program, channels: true}}, nil
}

// measureRound measures both, in the other order in every second round: caches that the first fills must not always
// help the same one.
func (c *linesCmd) measureRound(round int, compared [2]measured) (samples [2]loadgen.Sample, err error) {
	for turn := range compared {
		i := (round + turn) % len(compared)
		m := compared[i]
		samples[i], err = loadgen.Measure(m.program, c.Conns, c.Span, m.channels)
		if err != nil {
			return samples, err
		}
	}
	return samples, nil
}
