// Package capacity checks docs/CAPACITY.md: each figure that is marked as measured against the stored result that it
// refers to, and each calculation against its operands. It also fits lines through stored scale runs, so that a reader
// can recompute each slope on the page. It measures nothing, and must not depend on how a result was measured.
package capacity

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"spurspread/lab/report"
)

const (
	// invalidNote is the key of the report note by which a harness marks the figures of a run as not valid.
	invalidNote = "not valid"
	fileMode    = 0o644
)

// errNoRun means that a file of results contains no run.
var errNoRun = errors.New("no run in the file")

// Run is one run of a stored result: its figures, and its labels, such as the name of the experiment and the notes.
type Run struct {
	Command       string
	Commit        string
	Seed          uint64
	Figures       map[string]float64
	Labels        map[string]string
	InvalidReason string // why the figures must not be used, such as a harness short of processor time; "": valid
}

// Read reads a stored result: the JSON of one report or of a list of reports, or the CSV of one report (name and
// measured value in the first columns) or of many runs (one row each, with a column named seed). A result without a run
// is an error.
func Read(path string) ([]Run, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var runs []Run
	if filepath.Ext(path) == ".json" {
		runs, err = readJSON(text)
	} else {
		runs, err = readCSV(text)
	}
	if err == nil && len(runs) == 0 {
		err = errNoRun
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Base(path), err)
	}
	return runs, nil
}

// parseReports parses the JSON of one report or of a list of reports.
func parseReports(text []byte) ([]report.Report, error) {
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("[")) {
		var all []report.Report
		err := json.Unmarshal(text, &all)
		return all, err
	}
	all := make([]report.Report, 1)
	err := json.Unmarshal(text, &all[0])
	return all, err
}

// ErrDuplicateRun means that Join was given two reports with the same command, which would count one run twice.
var ErrDuplicateRun = errors.New("duplicate run")

// Join writes the reports of several files to one file, as a list. It returns ErrDuplicateRun if two reports have the
// same command.
func Join(out string, files []string) error {
	var all []report.Report
	seen := map[string]bool{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		reports, err := parseReports(text)
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		for _, r := range reports {
			if seen[r.Command] {
				return fmt.Errorf("%s: %w: %q", file, ErrDuplicateRun, r.Command)
			}
			seen[r.Command] = true
		}
		all = append(all, reports...)
	}
	text, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(out, append(text, '\n'), fileMode)
}

func readJSON(text []byte) ([]Run, error) {
	reports, err := parseReports(text)
	if err != nil {
		return nil, err
	}
	var runs []Run
	for _, r := range reports {
		labels := map[string]string{"experiment": r.Experiment}
		maps.Copy(labels, r.Notes)
		runs = append(runs, Run{
			Command:       r.Command,
			Commit:        r.Commit,
			Seed:          r.Seed,
			Figures:       r.Figures,
			Labels:        labels,
			InvalidReason: r.Notes[invalidNote],
		})
	}
	return runs, nil
}

func readCSV(text []byte) ([]Run, error) {
	reader := csv.NewReader(bytes.NewReader(text))
	reader.FieldsPerRecord = -1 // rows of different lengths
	rows, err := reader.ReadAll()
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	if slices.Contains(rows[0], "seed") {
		var runs []Run
		for _, row := range rows[1:] {
			runs = append(runs, readPairs(rows[0], row))
		}
		return runs, nil
	}
	var names, values []string
	for _, row := range rows[1:] {
		if len(row) > 1 {
			names = append(names, row[0])
			values = append(values, row[1])
		}
	}
	return []Run{readPairs(names, values)}, nil
}

// readPairs returns the run with values by their names. A value that is not a number becomes a label.
func readPairs(names, values []string) Run {
	r := Run{Figures: map[string]float64{}, Labels: map[string]string{}}
	for i, name := range names[:min(len(names), len(values))] {
		v, err := strconv.ParseFloat(values[i], 64)
		switch {
		case name == "command":
			r.Command = values[i]
		case name == "commit":
			r.Commit = values[i]
		case name == "seed":
			r.Seed, _ = strconv.ParseUint(values[i], 10, 64) // 0 if it is not a number
		case err != nil:
			r.Labels[name] = values[i]
		default:
			r.Figures[name] = v
		}
	}
	return r
}

// has reports whether the run has a figure, label or seed with this value.
func (r Run) has(name, value string) bool {
	if name == "seed" {
		return value == strconv.FormatUint(r.Seed, 10)
	}
	if v, ok := r.Figures[name]; ok {
		wanted, err := strconv.ParseFloat(value, 64)
		return err == nil && v == wanted
	}
	return r.Labels[name] == value
}

// ErrNotFound means that no valid run has the figure that a reference names.
var ErrNotFound = errors.New("no valid run has the figure")

// Find returns the figure that a reference names: NAME, or NAME&name=value&... for only the runs that have these
// values. It returns the median of several runs, or with &least or &most at the end the smallest or the greatest value.
func Find(runs []Run, reference string) (float64, error) {
	parts, quantile := splitReference(reference)
	name := parts[0]
	conditions := parts[1:]
	var found []float64
	for _, r := range runs {
		if v, ok := r.Figures[name]; ok && r.InvalidReason == "" && r.hasAll(conditions) {
			found = append(found, v)
		}
	}
	if len(found) == 0 {
		return 0, fmt.Errorf("%w %s", ErrNotFound, reference)
	}
	return report.Quantile(found, quantile), nil
}

// splitReference returns the name and the conditions of a reference, and the quantile of several runs that it selects.
func splitReference(reference string) (parts []string, quantile float64) {
	parts = strings.Split(reference, "&")
	last := len(parts) - 1
	switch parts[last] {
	case "least":
		return parts[:last], 0
	case "most":
		return parts[:last], 1
	default:
		return parts, 0.5
	}
}

// hasAll reports whether the run meets all conditions of the form name=value.
func (r Run) hasAll(conditions []string) bool {
	for _, condition := range conditions {
		name, value, _ := strings.Cut(condition, "=")
		if !r.has(name, value) {
			return false
		}
	}
	return true
}
