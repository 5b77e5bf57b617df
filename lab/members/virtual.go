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
	// virtualSeeds members are the seeds of all in virtual time.
	virtualSeeds = 3
	// The algorithms are compared in fleets of chartMembers, on chartSeeds seeds each.
	chartMembers = 30
	chartSeeds   = 6
	// pausesPerScript is how many members scenario.SinglePauses pauses.
	pausesPerScript = 6
	// detectionQuantile of detections is drawn and logged.
	detectionQuantile = 0.99
)

// fleetSizes are the numbers of members in virtual time, the smallest first.
func fleetSizes() []int { return []int{30, 100, 300, 1000} }

// fleetScripts are the scripts that each of them runs.
func fleetScripts() []string { return []string{"quiet", "loss", "pause"} }

// runVirtualFleets runs scripts in virtual time, with the same bounds for any number of members, and compares the
// project's algorithm with others.
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

// runFleetScripts runs each of fleetScripts once with so many members, all at the same time.
func runFleetScripts(members int, seed uint64) ([]*scenario.Result, error) {
	scripts := fleetScripts()
	results := make([]*scenario.Result, len(scripts))
	var group errgroup.Group
	for i, script := range scripts {
		group.Go(func() (err error) {
			results[i], err = simulation.Play(script, members, seed, simulation.Members(virtualSeeds), nil)
			return err
		})
	}
	return results, group.Wait()
}

// addVirtualResult logs and adds the figures of one script, and keeps the worst of each figure.
func (r *run) addVirtualResult(result *scenario.Result, worst map[string]float64) {
	r.log("%d members, %s: %.0f bytes a second, crashes seen after %.2f s, views differ for %.2f s",
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
		title:  "from a crash until a member holds it dead, 99 of 100",
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
		title:  "members held dead for a pause",
		x:      "pause, s",
		y:      "observers for each pause",
		values: []float64{0.5, 1, 2, 3, 4, 6},
		script: func(seconds float64) scenario.Script {
			return scenario.SinglePauses(time.Duration(seconds * float64(time.Second)))
		},
		measure: func(result *scenario.Result) float64 { return float64(result.HeldDead) / pausesPerScript },
	})
}

// comparison is a chart of what algorithms reach with a script, for each value of the script's parameter.
type comparison struct {
	name, title string
	x, y        string // labels of the axes
	values      []float64
	script      func(value float64) scenario.Script
	measure     func(*scenario.Result) float64
}

// compareAlgorithms runs the comparison with each algorithm on the same seeds.
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

// meansOf is the mean of what one algorithm reached over all seeds, for each value.
func (c *comparison) meansOf(algorithm string, seed uint64) []float64 {
	build := simulation.Members(virtualSeeds)
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
				result := simulation.PlayScript(algorithm, script, chartMembers, seed+uint64(k), build, nil)
				measured[i][k] = c.measure(result)
				return nil
			})
		}
	}
	_ = group.Wait() // none fails
	means := make([]float64, len(c.values))
	for i := range means {
		for _, v := range measured[i] {
			means[i] += v / chartSeeds
		}
	}
	return means
}
