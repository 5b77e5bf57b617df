package report

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// testReport returns a report with three figures and three bounds. The last bound is for a missing figure.
func testReport() *Report {
	r := &Report{
		Experiment: "x",
		Seed:       3,
		Figures:    map[string]float64{"lost": 0, "late_ms": 12.3456, "honoured": 7},
		Notes:      map[string]string{"a": "b"},
	}
	r.Check("lost", 0, false)
	r.Check("honoured", 7, true)
	r.Check("never measured", 5, false)
	return r
}

func TestBounds(t *testing.T) {
	r := &Report{Figures: map[string]float64{"lost": 0, "honoured": 7}}
	r.Check("lost", 0, false)
	r.Check("honoured", 7, true)
	if !r.Pass {
		t.Error("the report does not pass although all bounds hold")
	}
	r.Check("never measured", 5, false)
	if r.Pass {
		t.Error("the report passes although the figure of a bound is missing")
	}
	r.AddRatio("none_ratio", "honoured", "lost")
	r.Check("none_ratio", 1, false)
	if r.Bounds[len(r.Bounds)-1].OK {
		t.Error("the bound of a ratio with the divisor 0 holds")
	}
}

// Save writes all files, also with charts that have no points, a single point, or a histogram with empty bins.
func TestSaveWritesFiles(t *testing.T) {
	r := testReport()
	r.Charts = []Chart{
		{Name: "empty", Series: []Series{{Name: "none"}}},
		{Name: "one", Series: []Series{{Name: "dot", X: []float64{1}, Y: []float64{2}}}},
		{
			Name:   "two",
			Series: []Series{Percentiles("p", []float64{3, 1, 2}), Counts("c", []float64{0.05, 0.15, 5}, 0.1)},
		},
	}
	dir := t.TempDir()
	if err := r.Save(dir); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"x-empty.svg", "x-one.png", "x-two.svg", "x.csv", "x.json"} {
		info, err := os.Stat(filepath.Join(dir, name))
		if err != nil {
			t.Errorf("%s: %v", name, err)
		} else if info.Size() == 0 {
			t.Errorf("%s is empty", name)
		}
	}
}

func TestJSON(t *testing.T) {
	r := testReport()
	r.AddRatio("none_ratio", "honoured", "lost")
	r.Check("none_ratio", 1, false)
	path := filepath.Join(t.TempDir(), "x.json")
	if err := r.JSON(path); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var got struct {
		Experiment string
		Seed       int
		Pass       bool
		Bounds     []struct {
			Name            string
			Limit, Measured float64
			OK              bool
		}
		Figures map[string]float64
	}
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	if got.Seed != 3 || got.Pass || len(got.Bounds) != 4 || got.Bounds[2].OK || got.Figures["honoured"] != 7 {
		t.Errorf("report %+v, want seed 3, no pass, 4 bounds of which the third is missed, and honoured 7", got)
	}
}

func TestTable(t *testing.T) {
	var out bytes.Buffer
	if err := testReport().Table(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"BROKEN", "12.346"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in %s", want, out.String())
		}
	}
}

func TestQuantiles(t *testing.T) {
	var v []float64
	for i := range 100 {
		v = append(v, float64(100-i))
	}
	for q, want := range map[float64]float64{0.5: 51, 0.99: 100, 1: 100, 0: 1} {
		if got := Quantile(v, q); got != want {
			t.Errorf("%v: %v, want %v", q, got, want)
		}
	}
	if Quantile(nil, 0.5) != 0 {
		t.Error("the quantile of no values is not 0")
	}
}
