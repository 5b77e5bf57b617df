package capacity

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

const (
	significantDigits = 3
	digitsPerGroup    = 3 // between commas
)

// formatNumber writes a figure with three significant digits at least, and commas between thousandsPattern.
func formatNumber(v float64) string {
	decimals := 0
	if v != 0 {
		magnitude := int(math.Floor(math.Log10(math.Abs(v))))
		decimals = max(0, significantDigits-1-magnitude)
	}
	text := strconv.FormatFloat(v, 'f', decimals, 64)
	whole, fraction, _ := strings.Cut(text, ".")
	for at := len(whole) - digitsPerGroup; at > 0 && whole[at-1] != '-'; at -= digitsPerGroup {
		whole = whole[:at] + "," + whole[at:]
	}
	if fraction == "" {
		return whole
	}
	return whole + "." + fraction
}

// linkCell is a figure as the page has it: a link to the stored result.
func linkCell(v float64, file, name string) string {
	return fmt.Sprintf("[%s](results/%s#%s)", formatNumber(v), file, name)
}

// Cell is a figure of a stored result as the page has it, by its reference, see Find.
func Cell(runs []Run, file, reference string) (string, error) {
	v, err := Find(runs, reference)
	return linkCell(v, file, reference), err
}

// emptyCell is the cell of a figure that there is not.
const emptyCell = "-"

// Rows are the rows of the page's table of lines, for lines that are stored in a file of this name, with the limits
// that are known: figure, slope, intercept, residuals (r.m.s., most), exponent, the line at the target, the median
// measured there, limit, ratio, basis.
func (f *Fits) Rows(file string, limits map[string]float64) (rows []string) {
	for _, name := range f.Lines {
		if reason := f.Rejected[name]; reason != "" {
			row := fmt.Sprintf("| `%s` | - | - | - | - | - | - | - | - | not measured: %s |", name, reason)
			rows = append(rows, row)
			continue
		}
		rows = append(rows, f.lineRow(file, name, limits[name]))
	}
	return rows
}

// lineRow is the row of one line; a limit of 0 is none.
func (f *Fits) lineRow(file, name string, limit float64) string {
	limitCell, ratioCell := f.limitCells(name, limit)
	cells := []string{
		"`" + name + "`",
		f.cell(file, name+".slope"),
		f.cell(file, name+".intercept"),
		f.cell(file, name+".rms") + ", " + f.cell(file, name+".most"),
		f.cell(file, name+".exponent"),
		f.cell(file, name+".target"),
		f.cell(file, name+".at_target"),
		limitCell,
		ratioCell,
		basisMeasured,
	}
	return "| " + strings.Join(cells, " | ") + " |"
}

// cell is the cell of one of the figures.
func (f *Fits) cell(file, name string) string {
	v, ok := f.Figures[name]
	if !ok {
		return emptyCell
	}
	return linkCell(v, file, name)
}

// limitCells are a line's limit, and the ratio of the line at the target over it, computed with the numbers shown.
func (f *Fits) limitCells(name string, limit float64) (limitCell, ratioCell string) {
	if limit <= 0 {
		return emptyCell, emptyCell
	}
	target := formatNumber(f.Figures[name+".target"])
	limitCell = formatNumber(limit)
	v, _ := formulas{}.evaluate(target) // formatNumber's form: it can't fail
	return limitCell, fmt.Sprintf("`%s / %s = %s`", target, limitCell, formatNumber(v/limit))
}

// Predictions are the rows of the page's table of what lines predicted for the size that none was fitted to: figure,
// predicted, measured (median), prediction_error, basis.
func (f *Fits) Predictions(file string) (rows []string) {
	for _, name := range f.Lines {
		if _, ok := f.Figures[name+".prediction_error"]; !ok {
			continue
		}
		predicted := f.cell(file, name+".held_line")
		measured := f.cell(file, name+".held")
		predictionError := f.cell(file, name+".prediction_error")
		row := fmt.Sprintf("| `%s` | %s | %s | %s | measured |", name, predicted, measured, predictionError)
		rows = append(rows, row)
	}
	return rows
}

// ErrNoRow is the error of Replace for a row that has no place on the page.
var ErrNoRow = errors.New("no row for")

// Replace puts rows in the place of a page's rows that have the same first cell and as many cells. A row without such
// a place is ErrNoRow.
func Replace(page string, rows []string) (string, error) {
	lines := strings.Split(page, "\n")
	for _, row := range rows {
		found := false
		for i, line := range lines {
			if sameRow(line, row) {
				lines[i] = row
				found = true
			}
		}
		if !found {
			return "", fmt.Errorf("%w %s", ErrNoRow, firstCell(row))
		}
	}
	return strings.Join(lines, "\n"), nil
}

// sameRow reports whether two rows have the same first cell and as many cells.
func sameRow(a, b string) bool {
	return firstCell(a) == firstCell(b) && strings.Count(a, " | ") == strings.Count(b, " | ")
}

func firstCell(row string) string {
	cell, _, _ := strings.Cut(strings.TrimPrefix(row, "| "), " | ")
	return cell
}
