package members

import (
	"context"
	"fmt"
	"runtime"
	"spurspread/lab/experiment"
	"spurspread/lab/report"
	"spurspread/lab/scenario"
	"spurspread/lab/simulation"
	"time"

	"golang.org/x/sync/errgroup"
)

// The fleets that are played in virtual time, and what is done to them.
var (
	fleetSizes   = []int{30, 100, 300, 1000}
	fleetScripts = []string{"quiet", "loss", "pause"}
)

// What charts are drawn for: the ways, taken and not, on the same seeds.
const (
	chartMembers = 30
	chartSeeds   = 6
)

// fleet plays members in virtual time: on the same bounds whatever their number, and beside the ways that were not
// taken.
func (c *Trial) fleet(
	ctx context.Context,
	o experiment.Options,
	_ string,
	r *report.Report,
	log func(string, ...any),
) error {
	worst := map[string]float64{}
	for _, n := range fleetSizes {
		results, err := playFleetScripts(n, o.Seed)
		if err != nil {
			return err
		}
		for _, got := range results {
			log(
				"%d members, %s: %.0f bytes a second, crashes seen after %.2f s, views differ for %.2f s",
				n,
				got.Scenario,
				got.BytesPerS,
				got.SeenAt(0.99).Seconds(),
				got.Differ.Seconds(),
			)
			for _, f := range got.Figures() {
				r.Figures[fmt.Sprintf("%s_%s_%d", f.Name, got.Scenario, n)] = f.Measured
				worst[f.Name] = max(worst[f.Name], f.Measured)
			}
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
	for name, v := range worst {
		r.Figures[name] = v
	}
	quiet := func(members int) string { return fmt.Sprintf("bytes_per_s_per_member_quiet_%d", members) }
	r.Ratio("bytes_largest_over_least", quiet(fleetSizes[len(fleetSizes)-1]), quiet(fleetSizes[0]))
	r.Charts = append(
		r.Charts,
		c.chart(
			o,
			"by-loss",
			"from a crash until a member holds it dead, 99 of 100",
			"messages lost, %",
			"s",
			[]float64{0, 5, 10, 20, 30},
			func(x float64) scenario.Script { return scenario.Lossy(x / 100) },
			func(got *scenario.Result) float64 { return got.SeenAt(0.99).Seconds() },
		),
		c.chart(
			o,
			"by-pause",
			"members held dead for a pause",
			"pause, s",
			"observers for each pause",
			[]float64{0.5, 1, 2, 3, 4, 6},
			func(x float64) scenario.Script { return scenario.Paused(time.Duration(x * float64(time.Second))) },
			func(got *scenario.Result) float64 { return float64(got.HeldDead) / 6 },
		),
	)
	return nil
}

// playFleetScripts plays each of fleetScripts once with so many members, all at the same time.
func playFleetScripts(members int, seed uint64) ([]*scenario.Result, error) {
	results := make([]*scenario.Result, len(fleetScripts))
	var group errgroup.Group
	for i, script := range fleetScripts {
		group.Go(func() (err error) {
			results[i], err = simulation.Play(script, members, seed, simulation.Members(3), nil)
			return err
		})
	}
	return results, group.Wait()
}

// chart plays a script with each of some figures, each way on the same seeds, and takes the mean of what was measured.
func (c *Trial) chart(
	o experiment.Options,
	name, title, x, y string,
	xs []float64,
	script func(float64) scenario.Script,
	measure func(*scenario.Result) float64,
) report.Chart {
	chart := report.Chart{Name: name, Title: fmt.Sprintf("%d members: %s", chartMembers, title), X: x, Y: y}
	for _, way := range []string{"members", "heartbeats", "phi", "swim"} {
		build := simulation.Members(3)
		if way != "members" {
			build = simulation.Alternatives()[way]
		}
		s := report.Series{Name: way, X: xs, Y: make([]float64, len(xs))}
		all := make([][]float64, len(xs))
		var group errgroup.Group
		group.SetLimit(runtime.NumCPU())
		for i := range xs {
			all[i] = make([]float64, chartSeeds)
			for k := range chartSeeds {
				group.Go(func() error {
					all[i][k] = measure(
						simulation.PlayScript(way, script(xs[i]), chartMembers, o.Seed+uint64(k), build, nil),
					)
					return nil
				})
			}
		}
		_ = group.Wait() // none fails
		for i := range xs {
			for _, v := range all[i] {
				s.Y[i] += v / chartSeeds
			}
		}
		chart.Series = append(chart.Series, s)
	}
	return chart
}
