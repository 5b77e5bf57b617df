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

// Repeats are runs of one experiment with different seeds.
type Repeats []*Report

// Pass tells whether all bounds held in all of them.
func (r Repeats) Pass() bool {
	return !slices.ContainsFunc(r, func(one *Report) bool { return !one.Pass })
}

// of are all values of a figure.
func (r Repeats) of(name string) []float64 {
	var out []float64
	for _, one := range r {
		if v, had := one.Figures[name]; had {
			out = append(out, v)
		}
	}
	return out
}

func (r Repeats) names() []string {
	all := map[string]bool{}
	for _, one := range r {
		for name := range one.Figures {
			all[name] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// Table writes each figure's least, median and greatest value, and how often a bound broke.
func (r Repeats) Table(to io.Writer) error {
	if len(r) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintf(
		w,
		"%s, %d runs, seeds %d to %d, commit %s\n\nbound\tlimit\tleast\tmedian\tgreatest\tbroken\n",
		r[0].Experiment,
		len(r),
		r[0].Seed,
		r[len(r)-1].Seed,
		r[0].Commit,
	)
	bounded := map[string]bool{}
	for i, b := range r[0].Bounds {
		bounded[b.Name] = true
		broken := 0
		for _, one := range r {
			if !one.Bounds[i].OK {
				broken++
			}
		}
		sign := "<="
		if b.IsMinimum {
			sign = ">="
		}
		fmt.Fprintf(w, "%s\t%s %s\t%s\t%d\n", b.Name, sign, number(b.Limit), r.span(b.Name), broken)
	}
	fmt.Fprint(w, "\nfigure\t\tleast\tmedian\tgreatest\n")
	for _, name := range r.names() {
		if !bounded[name] {
			fmt.Fprintf(w, "%s\t\t%s\n", name, r.span(name))
		}
	}
	for _, one := range r {
		if one.Pass {
			continue
		}
		fmt.Fprintf(w, "\nseed %d broke a bound:\n", one.Seed)
		for _, name := range slices.Sorted(maps.Keys(one.Notes)) {
			fmt.Fprintf(w, "%s: %s\n", name, one.Notes[name])
		}
	}
	return w.Flush()
}

func (r Repeats) span(name string) string {
	v := r.of(name)
	return fmt.Sprintf("%s\t%s\t%s", number(Quantile(v, 0)), number(Quantile(v, 0.5)), number(Quantile(v, 1)))
}

// Keep writes a row for each run, and the first run's charts.
func (r Repeats) Keep(dir string) error {
	if len(r) == 0 {
		return nil
	}
	if len(r) == 1 {
		return r[0].Keep(dir)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, r[0].Experiment+"-seeds.csv"))
	if err != nil {
		return err
	}
	names := r.names()
	rows := [][]string{append([]string{"experiment", "commit", "seed", "pass"}, names...)}
	for _, one := range r {
		row := []string{one.Experiment, one.Commit, strconv.FormatUint(one.Seed, 10), strconv.FormatBool(one.Pass)}
		for _, name := range names {
			row = append(row, number(one.Figures[name]))
		}
		rows = append(rows, row)
	}
	return errors.Join(csv.NewWriter(f).WriteAll(rows), f.Close(), r[0].Keep(dir))
}
