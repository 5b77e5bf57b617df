// Command page helps to write docs/CAPACITY.md: it joins reports of many runs to one stored file, fits lines through
// stored runs, and prints rows and cells with their links.
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

// fileMode is that of a page.
const fileMode = 0o644

type cli struct {
	Join joinCmd `cmd:"" help:"Keep the reports of many runs in one file, so that a figure can be the median or the worst of them."`
	Fit  fitCmd  `cmd:"" help:"Least squares through kept runs: four sizes and three seeds at least."`
	Cell cellCmd `cmd:"" help:"Print figures of a kept result as the page has them."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("page"), kong.Description("Helps to fill docs/CAPACITY.md in."))
	ctx.FatalIfErrorf(ctx.Run())
}

type joinCmd struct {
	Out     string   `required:"" placeholder:"FILE" help:"The list of all reports (JSON)."`
	Reports []string `arg:"" help:"Reports, as bin/spurspread-lab run --json writes them, or lists of them."`
}

// Run joins the reports. A run that is given twice is refused.
func (c *joinCmd) Run() error { return capacity.Join(c.Out, c.Reports) }

type cellCmd struct {
	Kept       string   `arg:"" help:"A kept result in docs/results."`
	References []string `arg:"" help:"Figures, as 'zone_seen_ms&most' or 'control_memory_mb&members=1500'."`
}

// Run prints a cell for each.
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
	Target  float64            `default:"1500" help:"The size to predict for."`
	Held    float64            `help:"A size whose runs no line is fitted to; they check it."`
	Without []float64          `help:"Sizes to leave out, as one of which too few runs are valid."`
	Only    map[string]string  `help:"Take runs with these figures or words only, as script=split."`
	Lines   []string           `required:"" help:"The figures to fit a line through, with commas between them."`
	Out     string             `required:"" placeholder:"FILE" help:"Where to keep the lines (...-fit.json), in the folder of the runs."`
	Limits  map[string]float64 `help:"Limits of figures, as control_bytes_per_s=28000;control_core_share=0.043."`
	Rows    bool               `help:"Print the rows for docs/CAPACITY.md in place of the table."`
	Into    string             `placeholder:"FILE" help:"The page whose rows of the same first cell are replaced."`
	Runs    []string           `arg:"" help:"Kept runs, JSON or CSV."`
}

// Run fits, stores and prints the lines.
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
			return fmt.Errorf("%s is not kept beside %s", run, c.Out)
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

// replaceRows puts rows into a page.
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

// writeTable writes a row for each line, residuals and errors as parts of 1.
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
