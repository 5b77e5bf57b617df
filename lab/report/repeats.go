package report

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"text/tabwriter"
)

// Repeats is a list of runs of one experiment with different seeds. All have the same bounds in the same order.
type Repeats []*Report

// Pass reports whether all bounds held in all runs.
func (r Repeats) Pass() bool {
	return !slices.ContainsFunc(r, func(run *Report) bool { return !run.Pass })
}

// values returns the values of a figure in the runs that have it.
func (r Repeats) values(name string) []float64 {
	var values []float64
	for _, run := range r {
		if v, ok := run.Figures[name]; ok {
			values = append(values, v)
		}
	}
	return values
}

// names returns the names of all figures, sorted.
func (r Repeats) names() []string {
	all := map[string]bool{}
	for _, run := range r {
		for name := range run.Figures {
			all[name] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// Table writes a table with the least, median and greatest value of each figure, and the number of runs that broke each
// bound.
func (r Repeats) Table(to io.Writer) error {
	if len(r) == 0 {
		return nil
	}
	first := r[0]
	last := r[len(r)-1]
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s, %d runs, seeds %d to %d, commit %s\n\n",
		first.Experiment, len(r), first.Seed, last.Seed, first.Commit)
	bounded := r.writeBounds(w)
	fmt.Fprint(w, "\nfigure\t\tleast\tmedian\tgreatest\n")
	for _, name := range r.names() {
		if !bounded[name] {
			fmt.Fprintf(w, "%s\t\t%s\n", name, r.quantiles(name))
		}
	}
	r.writeBrokenRuns(w)
	return w.Flush()
}

// writeBounds writes a line for each bound, and returns the names of the figures that have one.
func (r Repeats) writeBounds(w *tabwriter.Writer) (bounded map[string]bool) {
	bounded = map[string]bool{}
	fmt.Fprint(w, "bound\tlimit\tleast\tmedian\tgreatest\tbroken\n")
	for i, b := range r[0].Bounds {
		bounded[b.Name] = true
		broken := 0
		for _, run := range r {
			if !run.Bounds[i].OK {
				broken++
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", b.Name, b.limitText(), r.quantiles(b.Name), broken)
	}
	return bounded
}

// writeBrokenRuns writes the notes of each run that broke a bound.
func (r Repeats) writeBrokenRuns(w *tabwriter.Writer) {
	for _, run := range r {
		if run.Pass {
			continue
		}
		fmt.Fprintf(w, "\nseed %d broke a bound:\n", run.Seed)
		for _, name := range slices.Sorted(maps.Keys(run.Notes)) {
			fmt.Fprintf(w, "%s: %s\n", name, run.Notes[name])
		}
	}
}

// quantiles returns the cells of the table with a figure's least, median and greatest value.
func (r Repeats) quantiles(name string) string {
	v := r.values(name)
	least := formatNumber(Quantile(v, 0))
	median := formatNumber(Quantile(v, 0.5))
	greatest := formatNumber(Quantile(v, 1))
	return least + "\t" + median + "\t" + greatest
}

// Save writes a CSV file with a row for each run to a folder, and saves the first run by Report.Save. A single run has
// no such CSV file.
func (r Repeats) Save(dir string) error {
	if len(r) == 0 {
		return nil
	}
	if len(r) == 1 {
		return r[0].Save(dir)
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, r[0].Experiment+"-seeds.csv"))
	if err != nil {
		return err
	}
	names := r.names()
	rows := [][]string{append([]string{"experiment", "commit", "seed", "pass"}, names...)}
	for _, run := range r {
		row := []string{run.Experiment, run.Commit, strconv.FormatUint(run.Seed, 10), strconv.FormatBool(run.Pass)}
		for _, name := range names {
			row = append(row, formatNumber(run.Figures[name]))
		}
		rows = append(rows, row)
	}
	return errors.Join(csv.NewWriter(f).WriteAll(rows), f.Close(), r[0].Save(dir))
}
