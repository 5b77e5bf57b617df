// Package report holds what an experiment measured, and writes it: as a table for people, as JSON for scripts, as
// CSV and charts to keep. It knows figures, and not how they came about.
package report

import (
	"encoding/csv"
	"encoding/json"
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

// Bound is a figure with its limit.
type Bound struct {
	Name      string  `json:"name"`
	Limit     float64 `json:"limit"`
	IsMinimum bool    `json:"at_least,omitempty"` // the limit is the least that is wanted, and not the most
	Measured  float64 `json:"measured"`
	OK        bool    `json:"ok"`
}

// Report is one run of an experiment.
type Report struct {
	Experiment string             `json:"experiment"`
	Seed       uint64             `json:"seed"`
	Pass       bool               `json:"pass"`
	Command    string             `json:"command"`
	Commit     string             `json:"commit"`
	Bounds     []Bound            `json:"bounds"`
	Figures    map[string]float64 `json:"figures"`
	Notes      map[string]string  `json:"notes,omitempty"`
	Charts     []Chart            `json:"-"`
}

// Check holds a figure against its limit. A figure that was not measured breaks its bound.
func (r *Report) Check(name string, limit float64, atLeast bool) {
	got, had := r.Figures[name]
	ok := had && (got <= limit && !atLeast || got >= limit && atLeast)
	r.Bounds = append(r.Bounds, Bound{name, limit, atLeast, got, ok})
	r.Pass = !slices.ContainsFunc(r.Bounds, func(b Bound) bool { return !b.OK })
}

// Ratio keeps one figure over another under a name of its own. Over nothing measured, or over 0, there is no ratio: a
// bound on it is broken, as on any figure that was not measured.
func (r *Report) Ratio(name, of, over string) {
	if under := r.Figures[over]; under != 0 {
		r.Figures[name] = r.Figures[of] / under
	}
}

// Table writes the report for people.
func (r *Report) Table(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s, seed %d, commit %s\n\nbound\tlimit\tmeasured\t\n", r.Experiment, r.Seed, r.Commit)
	for _, b := range r.Bounds {
		sign, verdict := "<=", "ok"
		if b.IsMinimum {
			sign = ">="
		}
		if !b.OK {
			verdict = "BROKEN"
		}
		fmt.Fprintf(w, "%s\t%s %s\t%s\t%s\n", b.Name, sign, number(b.Limit), number(b.Measured), verdict)
	}
	fmt.Fprint(w, "\nfigure\tmeasured\n")
	for _, name := range slices.Sorted(maps.Keys(r.Figures)) {
		fmt.Fprintf(w, "%s\t%s\n", name, number(r.Figures[name]))
	}
	for i, name := range slices.Sorted(maps.Keys(r.Notes)) {
		if i == 0 {
			fmt.Fprintln(w)
		}
		fmt.Fprintf(w, "%s: %s\n", name, r.Notes[name])
	}
	return w.Flush()
}

func number(v float64) string {
	if v == float64(int64(v)) {
		return strconv.FormatInt(int64(v), 10)
	}
	return strconv.FormatFloat(v, 'f', 3, 64)
}

// JSON writes the report for scripts.
func (r *Report) JSON(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Keep writes the report and its charts into a folder, in files that begin with the experiment's name.
func (r *Report) Keep(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	base := filepath.Join(dir, r.Experiment)
	err := errors.Join(r.JSON(base+".json"), r.csv(base+".csv"))
	for _, c := range r.Charts {
		err = errors.Join(err, c.draw(base+"-"+c.Name))
	}
	return err
}

func (r *Report) csv(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := csv.NewWriter(f)
	rows := [][]string{
		{"name", "measured", "limit", "ok"},
		{"command", r.Command, "", ""},
		{"commit", r.Commit, "", ""},
		{"seed", strconv.FormatUint(r.Seed, 10), "", ""},
	}
	bounded := map[string]bool{}
	for _, b := range r.Bounds {
		bounded[b.Name] = true
		rows = append(rows, []string{b.Name, number(b.Measured), number(b.Limit), strconv.FormatBool(b.OK)})
	}
	for _, name := range slices.Sorted(maps.Keys(r.Figures)) {
		if !bounded[name] {
			rows = append(rows, []string{name, number(r.Figures[name]), "", ""})
		}
	}
	return errors.Join(w.WriteAll(rows), f.Close())
}
