// Command page helps to write docs/CAPACITY.md: it joins the reports of many runs into one stored file, fits lines
// through stored runs, and prints table rows and cells with links to the results.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kong"

	"spurspread/lab/capacity"
)

// fileMode is the mode of a page.
const fileMode = 0o644

type cli struct {
	Join joinCmd `cmd:"" help:"Store the reports of many runs in one file, so that a figure can be their median or worst value."`
	Fit  fitCmd  `cmd:"" help:"Fit lines by least squares through stored runs of at least four sizes, with three seeds each."`
	Cell cellCmd `cmd:"" help:"Print figures of a stored result as cells of the page."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("page"), kong.Description("Helps to write docs/CAPACITY.md."))
	ctx.FatalIfErrorf(ctx.Run())
}

type joinCmd struct {
	Out     string   `required:"" placeholder:"FILE" help:"Output file for the list of all reports (JSON)."`
	Reports []string `arg:"" help:"Reports as written by bin/spurspread-lab run --json, or lists of them."`
}

// Run joins the reports. Two reports with the same command are an error.
func (c *joinCmd) Run() error { return capacity.Join(c.Out, c.Reports) }

type cellCmd struct {
	Kept       string   `arg:"" help:"A stored result in docs/results."`
	References []string `arg:"" help:"Figures, such as 'zone_seen_ms&most' or 'control_memory_mb&members=1500'."`
}

// Run prints the cell of each reference.
func (c *cellCmd) Run() error {
	runs, err := capacity.Read(c.Kept)
	if err != nil {
		return err
	}
	for _, reference := range c.References {
		cell, err := capacity.Cell(runs, filepath.Base(c.Kept), reference)
		if err != nil {
			return err
		}
		fmt.Println(cell)
	}
	return nil
}

type fitCmd struct {
	Size    string             `default:"members" help:"The figure that the others may grow with."`
	Target  float64            `default:"1500" help:"The size to predict figures for."`
	Held    float64            `help:"A size whose runs are held out of the fit, to check it."`
	Without []float64          `help:"Sizes to leave out, such as one with too few valid runs."`
	Only    map[string]string  `help:"Use only runs with these figures or labels, such as script=split."`
	Lines   []string           `required:"" help:"Figures to fit lines through, separated by commas."`
	Out     string             `required:"" placeholder:"FILE" help:"Output file for the lines (...-fit.json), in the folder of the runs."`
	Limits  map[string]float64 `help:"Limits of figures, such as control_bytes_per_s=28000;control_core_share=0.043."`
	Rows    bool               `help:"Print the rows for docs/CAPACITY.md instead of the table."`
	Into    string             `placeholder:"FILE" help:"The page in which rows with the same first cell are replaced."`
	Runs    []string           `arg:"" help:"Stored runs, JSON or CSV."`
}

// Run fits and stores the lines, and prints them or replaces their rows in a page.
func (c *fitCmd) Run() error {
	dir := filepath.Dir(c.Out)
	f := capacity.Fits{
		Command:       "go run ./lab/capacity/page " + strings.Join(os.Args[1:], " "),
		Size:          c.Size,
		Target:        c.Target,
		HeldOut:       c.Held,
		ExcludedSizes: c.Without,
		Required:      c.Only,
		Lines:         c.Lines,
	}
	for _, run := range c.Runs {
		if filepath.Dir(run) != dir {
			return fmt.Errorf("%s is not in the same folder as %s", run, c.Out)
		}
		f.RunFiles = append(f.RunFiles, filepath.Base(run))
	}
	if err := f.Compute(dir); err != nil {
		return err
	}
	if err := f.Write(c.Out); err != nil {
		return err
	}
	file := filepath.Base(c.Out)
	rows := append(f.Rows(file, c.Limits), f.Predictions(file)...)
	if c.Into != "" {
		return replaceRows(c.Into, rows)
	}
	if c.Rows {
		_, err := fmt.Println(strings.Join(rows, "\n"))
		return err
	}
	return writeTable(&f)
}

// replaceRows replaces rows in a page.
func replaceRows(path string, rows []string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	filled, err := capacity.Replace(string(text), rows)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.WriteFile(path, []byte(filled), fileMode)
}

// writeTable prints a row for each line. Residuals and errors are relative.
func writeTable(f *capacity.Fits) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	columns := []string{
		"slope", "intercept", "rms", "most", "exponent",
		"target", "at_target", "held_line", "held", "prediction_error",
	}
	fmt.Fprintf(w, "figure\t%s\n", strings.Join(columns, "\t"))
	for _, name := range f.Lines {
		if reason := f.Rejected[name]; reason != "" {
			fmt.Fprintf(w, "%s\tno line: %s\n", name, reason)
			continue
		}
		fmt.Fprint(w, name)
		for _, column := range columns {
			cell := "-"
			if v, ok := f.Figures[name+"."+column]; ok {
				cell = fmt.Sprintf("%.6g", v)
			}
			fmt.Fprint(w, "\t", cell)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}
