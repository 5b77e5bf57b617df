// Package report holds the results of an experiment and writes them: as a table for people, as JSON for scripts, and
// as CSV and charts for the records. A Report has figures by their names and compares them with bounds; the package
// must not know how they were measured.
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

const (
	dirMode  = 0o755
	fileMode = 0o644
)

// Bound is a figure with its limit, and the result of their comparison.
type Bound struct {
	Name      string  `json:"name"`
	Limit     float64 `json:"limit"`
	IsMinimum bool    `json:"at_least,omitempty"` // the limit is a lower bound; otherwise it is an upper one
	Measured  float64 `json:"measured"`
	OK        bool    `json:"ok"`
}

// Report has the results of one run of an experiment. Figures must be set before its methods are called.
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

// Check compares a figure with its limit, adds the bound, and updates Pass. A missing figure breaks its bound.
func (r *Report) Check(name string, limit float64, atLeast bool) {
	measured, ok := r.Figures[name]
	if atLeast {
		ok = ok && measured >= limit
	} else {
		ok = ok && measured <= limit
	}
	r.Bounds = append(r.Bounds, Bound{Name: name, Limit: limit, IsMinimum: atLeast, Measured: measured, OK: ok})
	r.Pass = !slices.ContainsFunc(r.Bounds, func(b Bound) bool { return !b.OK })
}

// AddRatio adds a figure, the quotient of two others. If the divisor is missing or 0 it adds none, so that a bound for
// the ratio is broken.
func (r *Report) AddRatio(name, dividend, divisor string) {
	if d := r.Figures[divisor]; d != 0 {
		r.Figures[name] = r.Figures[dividend] / d
	}
}

// limitText returns the limit with its comparison operator.
func (b *Bound) limitText() string {
	if b.IsMinimum {
		return ">= " + formatNumber(b.Limit)
	}
	return "<= " + formatNumber(b.Limit)
}

// Table writes the report as a table for people.
func (r *Report) Table(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s, seed %d, commit %s\n\nbound\tlimit\tmeasured\t\n", r.Experiment, r.Seed, r.Commit)
	for _, b := range r.Bounds {
		verdict := "ok"
		if !b.OK {
			verdict = "BROKEN"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", b.Name, b.limitText(), formatNumber(b.Measured), verdict)
	}
	fmt.Fprint(w, "\nfigure\tmeasured\n")
	for _, name := range slices.Sorted(maps.Keys(r.Figures)) {
		fmt.Fprintf(w, "%s\t%s\n", name, formatNumber(r.Figures[name]))
	}
	for i, name := range slices.Sorted(maps.Keys(r.Notes)) {
		if i == 0 {
			fmt.Fprintln(w)
		}
		fmt.Fprintf(w, "%s: %s\n", name, r.Notes[name])
	}
	return w.Flush()
}

// formatNumber formats whole numbers without decimals, and others with three.
func formatNumber(v float64) string {
	if v == float64(int64(v)) {
		return strconv.FormatInt(int64(v), 10)
	}
	return strconv.FormatFloat(v, 'f', 3, 64)
}

// JSON writes the report as JSON to a file, for scripts.
func (r *Report) JSON(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), fileMode)
}

// Save writes the report as JSON and CSV, and its charts, to a folder, which it creates if necessary. The files' names
// begin with the experiment's name.
func (r *Report) Save(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	base := filepath.Join(dir, r.Experiment)
	err := errors.Join(r.JSON(base+".json"), r.csv(base+".csv"))
	for _, c := range r.Charts {
		err = errors.Join(err, c.draw(base+"-"+c.Name))
	}
	return err
}

// csv writes the report as CSV with a row for each figure, those with bounds first.
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
		rows = append(rows, []string{b.Name, formatNumber(b.Measured), formatNumber(b.Limit), strconv.FormatBool(b.OK)})
	}
	for _, name := range slices.Sorted(maps.Keys(r.Figures)) {
		if !bounded[name] {
			rows = append(rows, []string{name, formatNumber(r.Figures[name]), "", ""})
		}
	}
	return errors.Join(w.WriteAll(rows), f.Close())
}
