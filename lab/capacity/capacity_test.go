package capacity

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"spurspread/internal/peer/packet"
	"spurspread/lab/report"
)

const docs = "../../docs"

// Each figure that the page marks as measured is in a stored result, and each calculation has the value shown.
func TestCapacityPage(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(docs, "CAPACITY.md"))
	if err != nil {
		t.Fatal(err)
	}
	p := Check(text, func(file string) ([]Run, error) { return Read(filepath.Join(docs, file)) })
	for _, problem := range p.Problems {
		t.Errorf("docs/CAPACITY.md, %s", problem)
	}
	if p.Measured == 0 || p.Formulas == 0 {
		t.Errorf("%d measured figures and %d formulas found: does the page have another syntax?",
			p.Measured, p.Formulas)
	}
}

// Stored lines can be recomputed from their stored runs.
func TestStoredLines(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(docs, "results", "*-fit.json"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if err := CheckFits(file); err != nil {
			t.Error(err)
		}
	}
}

// checkedPage checks a page of some lines, with a stored result of three runs.
func checkedPage(lines ...string) Page {
	return Check([]byte(strings.Join(lines, "\n")), func(file string) ([]Run, error) {
		if file != "results/a.csv" {
			return nil, os.ErrNotExist
		}
		return readCSV([]byte("experiment,commit,seed,members,bytes,share\n" +
			"x,c,1,60,1234.56,0.0421\nx,c,2,60,1240,0.0421\nx,c,3,125,1300,0.0421\n"))
	})
}

// wantProblem checks that a page has a problem with this text, or no problem if the text is "".
func wantProblem(t *testing.T, line string, p Page, want string) {
	t.Helper()
	got := strings.Join(p.Problems, "; ")
	if want == "" && got != "" || !strings.Contains(got, want) {
		t.Errorf("%s: problems %q, want %q", line, got, want)
	}
}

// Measured figures are compared with stored results, and formulas with their operands.
func TestFiguresAndFormulas(t *testing.T) {
	for line, want := range map[string]string{
		"[1,240 bytes](results/a.csv#bytes)":                "",
		"[1,240.0](results/a.csv#bytes)":                    "",
		"[1,235](results/a.csv#bytes&members=60&least)":     "",
		"[1,300](results/a.csv#bytes&seed=3)":               "",
		"[1,300](results/a.csv#bytes&most)":                 "",
		"[1,235](results/a.csv#bytes&experiment=x&least)":   "",
		"[4.2%](results/a.csv#share)":                       "",
		"[0.0421](results/a.csv#share)":                     "",
		"[1,241](results/a.csv#bytes)":                      "is 1240",
		"[1,239.9](results/a.csv#bytes)":                    "is 1240",
		"[4.3%](results/a.csv#share)":                       "is 0.0421",
		"[many](results/a.csv#bytes)":                       "is 1240",
		"[1](results/a.csv#datagrams)":                      "no valid run",
		"[1](results/a.csv#bytes&members=61)":               "no valid run",
		"[1](results/b.csv#bytes)":                          "not exist",
		"`a` = [1,240](results/a.csv#bytes), `a / 2 = 620`": "",
		"`a` = [1,240](results/a.csv#bytes), `a / 2 = 621`": "620",
		"`120e6 / 1,500 = 80,000` of `n = 1,500`":           "",
		"`n = 12`, `n * (2 + 1) - 1 = 35`, `1/3 = 0.33`":    "",
		"`m = 60 * 2 = 120`, `max(m, 100) = 120`":           "",
		"`60 * 2 = 121`":                                    "120",
		"`unknown * 2 = 4`":                                 "undefined name unknown",
		"`1 << 2 = 4`":                                      "unsupported operator <<",
		"`f(2) = 4`":                                        "unknown function",
		"`(1 = 2`":                                          "expected",
	} {
		p := checkedPage(line)
		wantProblem(t, line, p, want)
		if p.Measured+p.Formulas == 0 {
			t.Errorf("%s: no figure or formula was found", line)
		}
	}
}

// The basis of a row must agree with its cells.
func TestBasis(t *testing.T) {
	table := []string{"| what | figure | basis |", "| --- | --- | --- |"}
	for row, want := range map[string]string{
		"| a | [1,240](results/a.csv#bytes) | measured |":     "",
		"| a | `3 * 2 = 6` | worked out |":                    "",
		"| a | 4,096 | published (tcp(7)) |":                  "",
		"| a | - | not measured |":                            "",
		"| a | - | not measured: no run loses a rack yet |":   "",
		"| a | 1,240 | measured |":                            "no stored result",
		"| a | 6 | worked out |":                              "no formula",
		"| a | [1,240](results/a.csv#bytes) | not measured |": "there is a stored result",
		"| a | 7 | guessed |":                                 "not a basis",
		"| a | 7 |":                                           "no basis cell",
	} {
		wantProblem(t, row, checkedPage(append(table, row)...), want)
	}
}

// Plain numbers in computed columns must be computed by the row or be values of names.
func TestComputedColumns(t *testing.T) {
	table := []string{"| what | at the target | ratio | basis |", "| --- | --- | --- | --- |"}
	for row, want := range map[string]string{
		"| `n = 12` of `3 * 2 = 6` | 6 zones | 12 | worked out |":     "",
		"| `3 * 2 = 6` | 7 | - | worked out |":                        "not a number that the row computes",
		"| `3 * 2 = 6` | - | 0.5 | worked out |":                      "not a number that the row computes",
		"| `3 * 2 = 6` | `7 * 1 = 7` | `6 / 12 = 0.5` | worked out |": "",
	} {
		wantProblem(t, row, checkedPage(append(table, row)...), want)
	}
}

// Examples in code spans and fenced blocks are not checked.
func TestExamplesAreNotChecked(t *testing.T) {
	if p := checkedPage("as `[1](results/b.csv#bytes)` has it"); len(p.Problems) > 0 || p.Measured != 0 {
		t.Errorf("an example in a code span is checked: %+v", p)
	}
	if p := checkedPage("```", "[1](results/b.csv#bytes) `1 = 2`", "```", "`1 + 1 = 2`"); len(p.Problems) > 0 ||
		p.Formulas != 1 {
		t.Errorf("a fenced block is checked: %+v", p)
	}
}

// writeReports writes reports of runs of some sizes, with three seeds each, and returns the names of their files.
func writeReports(t *testing.T, dir string, sizes ...int) (files []string) {
	t.Helper()
	for _, size := range sizes {
		for seed := range uint64(3) {
			r := report.Report{Experiment: "scale-rest", Seed: seed, Commit: "c1", Figures: map[string]float64{
				"members": float64(size), "bytes": 900 + float64(size), "false_dead": 0,
			}}
			files = append(files, fmt.Sprintf("scale-rest-%d-%d.json", size, seed))
			if err := r.JSON(filepath.Join(dir, files[len(files)-1])); err != nil {
				t.Fatal(err)
			}
		}
	}
	return files
}

// computedFits returns lines through stored runs of five sizes, of which one is held out, and the folder of the runs.
func computedFits(t *testing.T) (f Fits, dir string) {
	t.Helper()
	dir = t.TempDir()
	f = Fits{
		Size:     "members",
		Target:   1500,
		HeldOut:  850,
		Lines:    []string{"bytes", "false_dead"},
		RunFiles: writeReports(t, dir, 60, 300, 600, 850, 1500),
	}
	if err := f.Compute(dir); err != nil {
		t.Fatal(err)
	}
	return f, dir
}

// Lines are computed from the runs in a folder, except for those with zeros or too few sizes.
func TestCompute(t *testing.T) {
	f, dir := computedFits(t)
	for name, want := range map[string]float64{
		"bytes.slope":            1,
		"bytes.intercept":        900,
		"bytes.target":           2400,
		"bytes.at_target":        2400,
		"bytes.held":             1750,
		"bytes.held_line":        1750,
		"bytes.prediction_error": 0,
	} {
		if got, ok := f.Figures[name]; !ok || got < want-1e-6 || got > want+1e-6 {
			t.Errorf("%s is %v, want %v", name, got, want)
		}
	}
	if f.Rejected["false_dead"] == "" {
		t.Errorf("a line was fitted through zeros: %+v", f)
	}
	if f.Commit != "c1" {
		t.Errorf("commit is %q, want c1", f.Commit)
	}
	f.ExcludedSizes = []float64{600}
	if err := f.Compute(dir); err != nil || f.Rejected["bytes"] == "" {
		t.Errorf("a line was fitted through three sizes: %+v, %v", f.Figures, err)
	}
}

// Stored lines can be read as a run, and fail the check after a figure was changed by hand.
func TestStoredFits(t *testing.T) {
	f, dir := computedFits(t)
	path := filepath.Join(dir, "scale-rest-fit.json")
	if err := f.Write(path); err != nil {
		t.Fatal(err)
	}
	if err := CheckFits(path); err != nil {
		t.Error(err)
	}
	runs, err := Read(path)
	if err != nil || len(runs) != 1 {
		t.Fatalf("stored lines are read as %+v, %v, want one run", runs, err)
	}
	if runs[0].Figures["bytes.slope"] != f.Figures["bytes.slope"] {
		t.Errorf("stored lines are read as %+v, want the stored slope", runs)
	}
	f.Figures["bytes.slope"] *= 1.001
	if err := f.Write(path); err != nil {
		t.Fatal(err)
	}
	if err := CheckFits(path); !errors.Is(err, ErrChanged) || !strings.Contains(err.Error(), "bytes.slope") {
		t.Errorf("check after a slope was changed by hand: %v, want ErrChanged with its name", err)
	}
}

// Rows and predictions have the syntax that Check accepts.
func TestRowsAndPredictions(t *testing.T) {
	f, dir := computedFits(t)
	const file = "scale-rest-fit.json"
	if err := f.Write(filepath.Join(dir, file)); err != nil {
		t.Fatal(err)
	}
	read := func(file string) ([]Run, error) { return Read(filepath.Join(dir, filepath.Base(file))) }
	check := func(head string, rows []string) Page {
		return Check([]byte(head+"\n| --- |\n"+strings.Join(rows, "\n")), read)
	}
	rows := f.Rows(file, map[string]float64{"bytes": 4096})
	p := check("| a | b | c | d | e | f | g | h | i | basis |", rows)
	if len(p.Problems) > 0 || len(rows) != 2 || p.Measured != 7 || p.Formulas != 1 {
		t.Errorf("rows %q: %+v, want 2 rows, 7 measured figures, 1 formula and no problem", rows, p)
	}
	rows = f.Predictions(file)
	p = check("| a | b | c | d | basis |", rows)
	if len(p.Problems) > 0 || len(rows) != 1 || p.Measured != 3 {
		t.Errorf("predictions %q: %+v, want 1 row, 3 measured figures and no problem", rows, p)
	}
}

// A row replaces those with the same first cell and number of cells. A row without such a place on the page is an
// error.
func TestReplace(t *testing.T) {
	f, _ := computedFits(t)
	rows := f.Rows("scale-rest-fit.json", map[string]float64{"bytes": 4096})
	page := "| `bytes` | - | - | not measured |\n| `bytes` |" + strings.Repeat(" - |", 8) + " not measured |\nelse"
	replaced, err := Replace(page, rows[:1])
	if err != nil {
		t.Fatal(err)
	}
	if replaced != "| `bytes` | - | - | not measured |\n"+rows[0]+"\nelse" {
		t.Errorf("replaced: %q, want only the row of the same width replaced, by %q", replaced, rows[0])
	}
	if _, err := Replace(replaced, rows); !errors.Is(err, ErrNoRow) {
		t.Errorf("replacing with a row that is not on the page: %v, want ErrNoRow", err)
	}
}

// A run of several sizes, whose figures have the size in their names, is split into one run for each valid size.
func TestRunsOfSeveralSizes(t *testing.T) {
	dir := t.TempDir()
	f := Fits{Size: "connections", Target: 80000, Lines: []string{"mb"}}
	for seed := range uint64(3) {
		r := report.Report{Seed: seed, Figures: map[string]float64{
			"n02000_mb": 6, "n05000_mb": 15, "mb_at_10000": 30, "mb_at_20000": 60,
			"mb_at_500": 99, "p99_ms": 4,
		}, Notes: map[string]string{invalidNote: "500: late", invalidNote + "_at_500": "late"}}
		f.RunFiles = append(f.RunFiles, fmt.Sprintf("%d.json", seed))
		if err := r.JSON(filepath.Join(dir, f.RunFiles[seed])); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Compute(dir); err != nil {
		t.Fatal(err)
	}
	if got := f.Figures["mb.target"]; got < 239.999 || got > 240.001 {
		t.Errorf("%v MB predicted for 80,000 connections, want 240; figures %v", got, f.Figures)
	}
}

// A run that is marked as not valid is neither found nor fitted.
func TestRunsThatAreNotValid(t *testing.T) {
	dir := t.TempDir()
	r := report.Report{
		Figures: map[string]float64{"members": 60, "bytes": 1},
		Notes:   map[string]string{invalidNote: "loops ran late"},
	}
	if err := r.JSON(filepath.Join(dir, "a.json")); err != nil {
		t.Fatal(err)
	}
	runs, err := Read(filepath.Join(dir, "a.json"))
	if err != nil {
		t.Fatal(err)
	}
	if v, err := Find(runs, "bytes"); err == nil {
		t.Errorf("a run that is not valid has the figure %v", v)
	}
	if err := (&Fits{
		Size: "members", Lines: []string{"bytes"}, RunFiles: []string{"a.json"},
	}).Compute(dir); err == nil {
		t.Error("lines were fitted to a run that is not valid")
	}
}

// Reports are joined to one list, each once. A run that is not valid remains so.
func TestJoin(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for i, note := range []map[string]string{nil, {invalidNote: "loops ran late"}} {
		r := report.Report{
			Command: fmt.Sprint("run ", i),
			Seed:    uint64(i),
			Figures: map[string]float64{"bytes": float64(5 + i)},
			Notes:   note,
		}
		files = append(files, filepath.Join(dir, fmt.Sprint(i)))
		if err := r.JSON(files[i]); err != nil {
			t.Fatal(err)
		}
	}
	list := filepath.Join(dir, "list.json")
	if err := Join(list, files); err != nil {
		t.Fatal(err)
	}
	runs, err := Read(list)
	if v, _ := Find(runs, "bytes&most"); err != nil || len(runs) != 2 || v != 5 {
		t.Errorf("joined runs %+v, %v, greatest valid figure %v; want two runs and 5", runs, err, v)
	}
	if cell, err := Cell(runs, "list.json", "bytes&most"); err != nil ||
		cell != "[5.00](results/list.json#bytes&most)" {
		t.Errorf("cell of the greatest figure: %s, %v", cell, err)
	}
	if err := Join(list, append(files, files[0])); err == nil {
		t.Error("the same report was joined twice without an error")
	}
}

// The sizes with which the page computes are those in the code.
func TestPageHasSizesOfCode(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(docs, "CAPACITY.md"))
	if err != nil {
		t.Fatal(err)
	}
	names := Check(text, func(file string) ([]Run, error) { return Read(filepath.Join(docs, file)) }).Names
	const incarnation = 1_796_171_470_554 // Unix milliseconds, as in the first incarnation of a member
	ping := membership.Message{Kind: membership.Ping, Incarnation: incarnation, ReceiverIncarnation: incarnation}
	envelope := packet.Envelope{Addr: netip.MustParseAddrPort("10.1.2.3:7946"), Zone: 1}
	probe := packet.EncodeDirectory(nil, envelope, &zonedirectory.Message{Kind: zonedirectory.Probe, Zone: 1})
	for name, want := range map[string]int{
		"ping_bytes":  len(packet.Encode(nil, envelope, &ping)) + packet.Overhead,
		"probe_bytes": len(probe) + packet.Overhead,
		"max_members": membership.MaxMembers, "max_zones": zonedirectory.MaxZones,
		"max_records": zonedirectory.MaxRecords,
	} {
		if names[name] != float64(want) {
			t.Errorf("%s is %v on the page, %d in the code", name, names[name], want)
		}
	}
}

// Formatted numbers are accepted as the value that they show.
func TestNumbers(t *testing.T) {
	for v, want := range map[float64]string{
		0: "0", 1234567.8: "1,234,568", -1234.5: "-1,234", 123.4: "123", 12.345: "12.3", 1.2345: "1.23",
		0.0421:      "0.0421",
		-0.00012345: "-0.000123", 999: "999", -100: "-100", -100000: "-100,000",
	} {
		if got := formatNumber(v); got != want || !rendersAs(got, v) {
			t.Errorf("%v is formatted as %q, want %q", v, got, want)
		}
	}
}

// Each format of a stored result is read as the same run, and malformed or empty results are errors.
func TestRead(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"one.csv":  "name,measured,limit,ok\ncommand,bin/spurlab run x,,\ncommit,abc+,,\nseed,7,,\nbytes,5.5,10,true\n",
		"one.json": `{"experiment":"x","seed":7,"commit":"abc+","command":"bin/spurlab run x","figures":{"bytes":5.5}}`,
		"all.json": `[{"experiment":"x","seed":7,"commit":"abc+",` +
			`"command":"bin/spurlab run x","figures":{"bytes":5.5}}]`,
		"all.csv": "command,commit,seed,bytes\nbin/spurlab run x,abc+,7,5.5\n",
	} {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		runs, err := Read(path)
		if err != nil || len(runs) != 1 {
			t.Fatalf("%s: %+v, %v, want one run", name, runs, err)
		}
		r := runs[0]
		if r.Seed != 7 || r.Commit != "abc+" || r.Command != "bin/spurlab run x" || r.Figures["bytes"] != 5.5 {
			t.Errorf("%s: run %+v, want seed 7, commit abc+, the command and 5.5 bytes", name, r)
		}
	}
	for name, text := range map[string]string{"none.json": "[]", "bad.json": "{", "none.csv": "", "bad.csv": "a,\"b"} {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if runs, err := Read(path); err == nil {
			t.Errorf("%s: read as %+v, want an error", name, runs)
		}
	}
}
