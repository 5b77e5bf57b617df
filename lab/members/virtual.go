package members

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"spurspread/lab/report"
	"spurspread/lab/scenario"
	"spurspread/lab/simulation"
)

const (
	// virtualSeeds is the number of members, the first ones, that are the seeds of a virtual fleet.
	virtualSeeds = 3
	// Algorithms are compared in fleets of chartMembers members, with chartSeeds random seeds each.
	chartMembers = 30
	chartSeeds   = 6
	// pausesPerScript is the number of members that scenario.SinglePauses pauses.
	pausesPerScript = 6
	// detectionQuantile is the quantile of detection times that is charted and logged.
	detectionQuantile = 0.99
)

// fleetSizes returns the numbers of members of the virtual fleets, the smallest first.
func fleetSizes() []int { return []int{30, 100, 300, 1000} }

// fleetScripts returns the scripts that a fleet of each size runs.
func fleetScripts() []string { return []string{"quiet", "loss", "pause"} }

// runVirtualFleets runs scripts in virtual time with fleets of several sizes, under the same bounds. It also adds
// charts that compare the balancer's membership with other algorithms.
func (r *run) runVirtualFleets(ctx context.Context) error {
	worst := map[string]float64{}
	sizes := fleetSizes()
	for _, members := range sizes {
		results, err := runFleetScripts(members, r.options.Seed)
		if err != nil {
			return err
		}
		for _, result := range results {
			r.addVirtualResult(result, worst)
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
	for name, value := range worst {
		r.report.Figures[name] = value
	}
	quiet := func(members int) string { return fmt.Sprintf("bytes_per_s_per_member_quiet_%d", members) }
	r.report.AddRatio("bytes_largest_over_least", quiet(sizes[len(sizes)-1]), quiet(sizes[0]))
	r.report.Charts = append(r.report.Charts, r.compareByLoss(), r.compareByPause())
	return nil
}

// runFleetScripts runs all fleetScripts once, concurrently, each on a separate fleet with this number of members.
func runFleetScripts(members int, seed uint64) ([]*scenario.Result, error) {
	scripts := fleetScripts()
	results := make([]*scenario.Result, len(scripts))
	var group errgroup.Group
	for i, script := range scripts {
		group.Go(func() (err error) {
			results[i], err = simulation.Run(script, members, seed, simulation.BalancerMembers(virtualSeeds), nil)
			return err
		})
	}
	return results, group.Wait()
}

// addVirtualResult logs the figures of one script, adds them to the report, and updates the worst of each figure.
func (r *run) addVirtualResult(result *scenario.Result, worst map[string]float64) {
	r.log("%d members, %s: %.0f bytes/s per member, crashes detected within %.2f s, views differ for %.2f s",
		result.Members, result.Scenario, result.BytesPerS,
		result.DetectionQuantile(detectionQuantile).Seconds(), result.Divergence.Seconds())
	for _, f := range result.Figures() {
		r.report.Figures[fmt.Sprintf("%s_%s_%d", f.Name, result.Scenario, result.Members)] = f.Measured
		worst[f.Name] = max(worst[f.Name], f.Measured)
	}
}

func (r *run) compareByLoss() report.Chart {
	return r.compareAlgorithms(comparison{
		name:   "by-loss",
		title:  "time from a crash to its detection, 99th percentile",
		x:      "messages lost, %",
		y:      "s",
		values: []float64{0, 5, 10, 20, 30},
		script: func(percent float64) scenario.Script { return scenario.KillsUnderLoss(percent / 100) },
		measure: func(result *scenario.Result) float64 {
			return result.DetectionQuantile(detectionQuantile).Seconds()
		},
	})
}

func (r *run) compareByPause() report.Chart {
	return r.compareAlgorithms(comparison{
		name:   "by-pause",
		title:  "members declared dead because of a pause",
		x:      "pause, s",
		y:      "observers per pause",
		values: []float64{0.5, 1, 2, 3, 4, 6},
		script: func(seconds float64) scenario.Script {
			return scenario.SinglePauses(time.Duration(seconds * float64(time.Second)))
		},
		measure: func(result *scenario.Result) float64 { return float64(result.DeclaredDead) / pausesPerScript },
	})
}

// comparison describes a chart that compares algorithms by one measured value of a script, for several values of the
// script's parameter.
type comparison struct {
	name, title string
	x, y        string // labels of the axes
	values      []float64
	script      func(value float64) scenario.Script
	measure     func(*scenario.Result) float64
}

// compareAlgorithms runs a comparison of all algorithms on the same random seeds.
func (r *run) compareAlgorithms(c comparison) report.Chart {
	chart := report.Chart{
		Name:  c.name,
		Title: fmt.Sprintf("%d members: %s", chartMembers, c.title),
		X:     c.x,
		Y:     c.y,
	}
	for _, algorithm := range []string{"members", "heartbeats", "phi", "swim"} {
		chart.Series = append(chart.Series, report.Series{
			Name: algorithm,
			X:    c.values,
			Y:    c.meansOf(algorithm, r.options.Seed),
		})
	}
	return chart
}

// meansOf returns the mean measurement of one algorithm over all random seeds, for each value of the parameter.
func (c *comparison) meansOf(algorithm string, seed uint64) []float64 {
	build := simulation.BalancerMembers(virtualSeeds)
	if algorithm != "members" {
		build = simulation.Alternatives()[algorithm]
	}
	measured := make([][]float64, len(c.values))
	var group errgroup.Group
	group.SetLimit(runtime.NumCPU())
	for i, value := range c.values {
		measured[i] = make([]float64, chartSeeds)
		for k := range chartSeeds {
			group.Go(func() error {
				script := c.script(value)
				result := simulation.RunScript(algorithm, script, chartMembers, seed+uint64(k), build, nil)
				measured[i][k] = c.measure(result)
				return nil
			})
		}
	}
	_ = group.Wait() // the functions return no errors
	means := make([]float64, len(c.values))
	for i := range means {
		for _, v := range measured[i] {
			means[i] += v / chartSeeds
		}
	}
	return means
}
