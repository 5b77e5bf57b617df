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

// formatNumber formats a figure with at least three significant digits, and commas between thousands.
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

// linkCell returns the cell of a measured figure: a link to the stored result.
func linkCell(v float64, file, name string) string {
	return fmt.Sprintf("[%s](results/%s#%s)", formatNumber(v), file, name)
}

// Cell returns the cell of a figure of a stored result, given its reference; see Find.
func Cell(runs []Run, file, reference string) (string, error) {
	v, err := Find(runs, reference)
	return linkCell(v, file, reference), err
}

// emptyCell is the cell of a figure that does not exist.
const emptyCell = "-"

// Rows returns the rows of the table of lines on the page, for lines that are stored in a file and with limits by the
// name of the figure. The columns are: figure, slope, intercept, residuals (r.m.s., greatest), exponent, the line at
// the target, the median measured there, limit, ratio, basis.
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

// lineRow returns the row of a line. A limit of 0 means none.
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

// cell returns the cell of one of the figures.
func (f *Fits) cell(file, name string) string {
	v, ok := f.Figures[name]
	if !ok {
		return emptyCell
	}
	return linkCell(v, file, name)
}

// limitCells returns the cells with the limit of a line, and with the ratio of the line at the target to it, which is
// computed from the rounded numbers that are shown.
func (f *Fits) limitCells(name string, limit float64) (limitCell, ratioCell string) {
	if limit <= 0 {
		return emptyCell, emptyCell
	}
	target := formatNumber(f.Figures[name+".target"])
	limitCell = formatNumber(limit)
	v, _ := formulas{}.evaluate(target) // cannot fail for the result of formatNumber
	return limitCell, fmt.Sprintf("`%s / %s = %s`", target, limitCell, formatNumber(v/limit))
}

// Predictions returns the rows of the table of predictions on the page, for the size that was held out: figure,
// predicted value, measured median, prediction error, basis.
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

// ErrNoRow means that the page has no row that Replace can replace.
var ErrNoRow = errors.New("no matching row on the page")

// Replace replaces the rows of a page that have the same first cell and number of cells as one of the given rows. It
// returns ErrNoRow if the page has none for a given row.
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
			return "", fmt.Errorf("%w: %s", ErrNoRow, firstCell(row))
		}
	}
	return strings.Join(lines, "\n"), nil
}

// sameRow reports whether two rows have the same first cell and the same number of cells.
func sameRow(a, b string) bool {
	return firstCell(a) == firstCell(b) && strings.Count(a, " | ") == strings.Count(b, " | ")
}

func firstCell(row string) string {
	cell, _, _ := strings.Cut(strings.TrimPrefix(row, "| "), " | ")
	return cell
}
