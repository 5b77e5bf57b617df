// Package capacity holds docs/CAPACITY.md against what it rests on: each figure marked as measured against the kept
// result that it names, and each calculation against its own operands. It also fits lines through kept scale runs,
// so that a reader can compute each slope on the page again. It measures nothing itself.
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
	"spurspread/lab/report"
	"strconv"
	"strings"
)

// Run is what a kept result says of one run: its figures, and the words beside them, as the experiment or the script.
type Run struct {
	Command, Commit string
	Seed            uint64
	Figures         map[string]float64
	Words           map[string]string
	// why its figures are none, as a harness that was short of processor time; empty where they are
	NotValid string
}

// notValid is the note of a report by which a harness says that its figures are not to be used.
const notValid = "not valid"

// Read reads a kept result: the JSON of one report or of a list of them, or the CSV of one report (name and
// measured in the first columns) or of many runs (a row each, with a column named seed).
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
		err = errors.New("no run in it")
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Base(path), err)
	}
	return runs, nil
}

// reports takes one report, or a list of them.
func reports(text []byte) ([]report.Report, error) {
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("[")) {
		var all []report.Report
		err := json.Unmarshal(text, &all)
		return all, err
	}
	all := make([]report.Report, 1)
	err := json.Unmarshal(text, &all[0])
	return all, err
}

// Join keeps the reports of several files as one list. A command given twice is refused: a run would count twice.
func Join(out string, files []string) error {
	var all []report.Report
	seen := map[string]bool{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		some, err := reports(text)
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		for _, r := range some {
			if seen[r.Command] {
				return fmt.Errorf("%s: %q is given twice", file, r.Command)
			}
			seen[r.Command] = true
		}
		all = append(all, some...)
	}
	text, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(out, append(text, '\n'), 0o644)
}

func readJSON(text []byte) ([]Run, error) {
	all, err := reports(text)
	if err != nil {
		return nil, err
	}
	var runs []Run
	for _, r := range all {
		words := map[string]string{"experiment": r.Experiment}
		maps.Copy(words, r.Notes)
		runs = append(runs, Run{r.Command, r.Commit, r.Seed, r.Figures, words, r.Notes[notValid]})
	}
	return runs, nil
}

func readCSV(text []byte) ([]Run, error) {
	in := csv.NewReader(bytes.NewReader(text))
	in.FieldsPerRecord = -1
	rows, err := in.ReadAll()
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
			names, values = append(names, row[0]), append(values, row[1])
		}
	}
	return []Run{readPairs(names, values)}, nil
}

func readPairs(names, values []string) Run {
	r := Run{Figures: map[string]float64{}, Words: map[string]string{}}
	for i, name := range names[:min(len(names), len(values))] {
		v, err := strconv.ParseFloat(values[i], 64)
		switch {
		case name == "command":
			r.Command = values[i]
		case name == "commit":
			r.Commit = values[i]
		case name == "seed":
			r.Seed, _ = strconv.ParseUint(values[i], 10, 64) // 0 where it is none
		case err != nil:
			r.Words[name] = values[i]
		default:
			r.Figures[name] = v
		}
	}
	return r
}

// has tells whether the run has a figure or word of this value.
func (r Run) has(name, value string) bool {
	if name == "seed" {
		return value == strconv.FormatUint(r.Seed, 10)
	}
	if v, is := r.Figures[name]; is {
		wanted, err := strconv.ParseFloat(value, 64)
		return err == nil && v == wanted
	}
	return r.Words[name] == value
}

// Find is the figure that a reference names: NAME, or NAME&name=value&... for the runs that have these values only.
// Of several runs it is the median, or with &least or &most at the end the least or the greatest.
func Find(runs []Run, reference string) (float64, error) {
	parts := strings.Split(reference, "&")
	quantile := 0.5
	switch parts[len(parts)-1] {
	case "least":
		quantile, parts = 0, parts[:len(parts)-1]
	case "most":
		quantile, parts = 1, parts[:len(parts)-1]
	}
	var found []float64
	for _, r := range runs {
		v, is := r.Figures[parts[0]]
		for _, p := range parts[1:] {
			name, value, _ := strings.Cut(p, "=")
			is = is && r.has(name, value)
		}
		if is && r.NotValid == "" {
			found = append(found, v)
		}
	}
	if len(found) == 0 {
		return 0, fmt.Errorf("no valid run in it has %s", reference)
	}
	return report.Quantile(found, quantile), nil
}
