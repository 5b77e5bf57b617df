package main

import (
	"fmt"
	"time"

	"spurspread/lab/loadgen"
	"spurspread/lab/report"
)

// linesCmd compares the throughput of two balancer programs, or of plain connections and channels with one program.
type linesCmd struct {
	Old    string        `placeholder:"FILE" help:"The balancer program to compare with; without it, channels are compared with plain connections."`
	New    string        `placeholder:"FILE" help:"The balancer program; by default the one beside this program."`
	Rounds int           `default:"10" help:"Number of rounds, each of one measurement of both."`
	Conns  int           `default:"32" help:"Number of client connections."`
	Span   time.Duration `default:"2s" help:"Duration of each measurement."`
}

// Help returns the command's long help text.
func (linesCmd) Help() string {
	return `Measures two balancer programs alternately, or one program with plain connections and with channels.

Examples:
  spurspread-lab lines --old /tmp/spurspread.before --rounds 10
  spurspread-lab lines --conns 64`
}

// Run prints a line for each round, and the median ratios of the second variant to the first.
func (c *linesCmd) Run(s *streams) error {
	variants, err := c.variants()
	if err != nil {
		return err
	}
	var rateRatios, cpuRatios []float64
	for round := range c.Rounds {
		samples, err := c.measureRound(round, variants)
		if err != nil {
			return err
		}
		rateRatios = append(rateRatios, samples[1].PerSecond/samples[0].PerSecond)
		cpuRatios = append(cpuRatios, samples[1].PerCPU/samples[0].PerCPU)
		_, err = fmt.Fprintf(s.out, "%s %8.0f lines/s, %8.0f lines/CPU second; %s %8.0f, %8.0f; ratios %.3f, %.3f\n",
			variants[0].name, samples[0].PerSecond, samples[0].PerCPU,
			variants[1].name, samples[1].PerSecond, samples[1].PerCPU,
			rateRatios[round], cpuRatios[round])
		if err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(s.out, "%s over %s, median of %d rounds: %.3f in lines/s, %.3f in lines/CPU second\n",
		variants[1].name, variants[0].name, c.Rounds,
		report.Quantile(rateRatios, 0.5), report.Quantile(cpuRatios, 0.5))
	return err
}

// variant is one of the two configurations that are compared.
type variant struct {
	name     string
	program  string
	channels bool
}

// variants returns the old and the new program or, if no old one is given, the new one with plain connections and with
// channels.
func (c *linesCmd) variants() (variants [2]variant, err error) {
	program, err := balancerProgram(c.New)
	if err != nil {
		return variants, err
	}
	if c.Old != "" {
		return [2]variant{{name: "old", program: c.Old}, {name: "new", program: program}}, nil
	}
	return [2]variant{{name: "plain", program: program}, {name: "channels", program: program, channels: true}}, nil
}

// measureRound measures both variants. The order alternates between rounds, so that caches filled by the first
// measurement do not always favour the same variant.
func (c *linesCmd) measureRound(round int, variants [2]variant) (samples [2]loadgen.Sample, err error) {
	for turn := range variants {
		i := (round + turn) % len(variants)
		v := variants[i]
		samples[i], err = loadgen.Measure(v.program, c.Conns, c.Span, v.channels)
		if err != nil {
			return samples, err
		}
	}
	return samples, nil
}
