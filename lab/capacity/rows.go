package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// number writes a figure with three significant digits at least, and commas between thousands.
func number(v float64) string {
	decimals := 0
	if v != 0 {
		decimals = max(0, 2-int(math.Floor(math.Log10(math.Abs(v)))))
	}
	text := strconv.FormatFloat(v, 'f', decimals, 64)
	whole, part, _ := strings.Cut(text, ".")
	at := len(whole) - 3
	for ; at > 0 && whole[at-1] != '-'; at -= 3 {
		whole = whole[:at] + "," + whole[at:]
	}
	if part != "" {
		return whole + "." + part
	}
	return whole
}

// measured writes a figure as the page has it: a link to where it stands.
func measured(v float64, file, name string) string {
	return fmt.Sprintf("[%s](results/%s#%s)", number(v), file, name)
}

// Cell is a figure of a kept result as the page has it, by its reference (see Find).
func Cell(runs []Run, file, reference string) (string, error) {
	v, err := Find(runs, reference)
	return measured(v, file, reference), err
}

// Rows are the rows of the page's table of lines, for lines that are kept in a file of this name, with the limits
// that are known: figure, slope, intercept, residuals (r.m.s., most), exponent, the line at the target, the median
// measured there, limit, ratio, basis.
func (f *Fits) Rows(file string, limits map[string]float64) (rows []string) {
	for _, name := range f.Lines {
		if why := f.Refused[name]; why != "" {
			rows = append(rows, fmt.Sprintf("| `%s` | - | - | - | - | - | - | - | - | not measured: %s |", name, why))
			continue
		}
		link := func(of string) string {
			v, is := f.Figures[name+"."+of]
			if !is {
				return "-"
			}
			return measured(v, file, name+"."+of)
		}
		limit, ratio := "-", "-"
		if l, is := limits[name]; is && l > 0 {
			shown := number(f.Figures[name+".target"])
			v, _ := formulas{}.value(shown) // number's own form
			limit, ratio = number(l), fmt.Sprintf("`%s / %s = %s`", shown, number(l), number(v/l))
		}
		cells := []string{
			"`" + name + "`", link("slope"), link("intercept"), link("rms") + ", " + link("most"),
			link("exponent"), link("target"),
			link("at_target"), limit, ratio, "measured",
		}
		rows = append(rows, "| "+strings.Join(cells, " | ")+" |")
	}
	return rows
}

// Predictions are the rows of the page's table of what lines predicted for a size that none was fitted to: figure,
// predicted, measured (median), prediction_error, basis.
func (f *Fits) Predictions(file string) (rows []string) {
	for _, name := range f.Lines {
		e, is := f.Figures[name+".prediction_error"]
		if !is {
			continue
		}
		rows = append(
			rows,
			fmt.Sprintf(
				"| `%s` | %s | %s | %s | measured |",
				name,
				measured(f.Figures[name+".held_line"], file, name+".held_line"),
				measured(f.Figures[name+".held"], file, name+".held"),
				measured(e, file, name+".prediction_error"),
			),
		)
	}
	return rows
}

// Replace puts rows in the place of a page's rows that have the same first cell and as many cells. It fails where
// there is none.
func Replace(page string, rows []string) (string, error) {
	lines := strings.Split(page, "\n")
	for _, row := range rows {
		found := false
		for i, line := range lines {
			if firstCell(line) == firstCell(row) && strings.Count(line, " | ") == strings.Count(row, " | ") {
				lines[i], found = row, true
			}
		}
		if !found {
			return "", fmt.Errorf("no row for %s", firstCell(row))
		}
	}
	return strings.Join(lines, "\n"), nil
}

func firstCell(row string) string {
	cell, _, _ := strings.Cut(strings.TrimPrefix(row, "| "), " | ")
	return cell
}
