package capacity

import (
	"bufio"
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// The forms of the page's figures. A measured figure is a link to the stored result that has it,
// [1,234](results/FILE.json#NAME); `name` = before it gives it a name. A formula is a code span with an equals sign,
// see formulas.
var (
	measuredPattern = regexp.MustCompile(
		"(?:`([a-z][a-z0-9_]*)` = )?" + `\[([^\]]*)\]\((results/[^)#]+\.(?:json|csv))#([^)]+)\)`,
	)
	formulaPattern = regexp.MustCompile("`([^`]+ = [^`]+)`")
	basisPattern   = regexp.MustCompile(`^(measured|worked out|published \(.+\)|not measured(: .+)?|told by .+)$`)
)

const (
	// basisColumn heads the column of a table that names what a row's figures are based on.
	basisColumn = "basis"

	basisMeasured    = "measured"
	basisComputed    = "worked out"
	basisNotMeasured = "not measured"
)

// isComputedColumn reports whether a column's plain numbers, in a row that was worked out, have to be ones that the
// row computes or that have a name.
func isComputedColumn(head string) bool { return head == "at the target" || head == "ratio" }

// Page is the result of checking a page.
type Page struct {
	Measured int                // measured figures
	Formulas int                // formulas
	Problems []string           // one for each fault, with the number of the page's line
	Names    map[string]float64 // the values of names that formulas and figures were given
}

// pageChecker checks a page line by line.
type pageChecker struct {
	Page
	line     int
	read     func(file string) ([]Run, error) // reads a stored result by its path from the page's folder
	names    formulas
	computed []float64 // by the formulas of the present line
	basis    int       // index of the basis column in the present table; -1: no table
	columns  []int     // indexes of the computed columns
	fenced   bool      // the line is in a fenced block
}

// Check compares each measured figure with its stored result, each formula with its operands, and each row's basis
// with its cells: a measured row has a measured figure, and one that was worked out has a formula. Problems are in
// the Page.
func Check(text []byte, read func(file string) ([]Run, error)) Page {
	c := &pageChecker{read: read, names: formulas{}, basis: -1}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		c.line++
		c.check(lines.Text())
	}
	if err := lines.Err(); err != nil {
		c.addProblem("%v", err)
	}
	c.Names = c.names
	return c.Page
}

func (c *pageChecker) addProblem(format string, args ...any) {
	c.Problems = append(c.Problems, fmt.Sprintf("line %d: %s", c.line, fmt.Sprintf(format, args...)))
}

func (c *pageChecker) check(line string) {
	if strings.HasPrefix(strings.TrimSpace(line), "```") {
		c.fenced = !c.fenced
	}
	if c.fenced {
		return
	}
	measuredBefore := c.Measured
	c.checkLinks(line)
	c.checkFormulas(line)
	c.checkRow(line, c.Measured > measuredBefore)
}

// checkLinks checks the line's measured figures. One within a code span is an example.
func (c *pageChecker) checkLinks(line string) {
	for _, at := range measuredPattern.FindAllStringIndex(line, -1) {
		inCodeSpan := strings.Count(line[:at[0]], "`")%2 == 1
		if !inCodeSpan {
			m := measuredPattern.FindStringSubmatch(line[at[0]:at[1]])
			c.checkMeasured(m[1], m[2], m[3], m[4])
		}
	}
}

// checkFormulas checks the line's formulas, and keeps their values.
func (c *pageChecker) checkFormulas(line string) {
	c.computed = c.computed[:0]
	for _, m := range formulaPattern.FindAllStringSubmatch(line, -1) {
		c.Formulas++
		v, err := c.names.check(m[1])
		if err != nil {
			c.addProblem("%v", err)
		}
		c.computed = append(c.computed, v)
	}
}

// checkMeasured checks one figure, and keeps the name that it is given with the value that is shown.
func (c *pageChecker) checkMeasured(name, text, file, reference string) {
	c.Measured++
	runs, err := c.read(file)
	if err != nil {
		c.addProblem("%v", err)
		return
	}
	v, err := Find(runs, reference)
	if err != nil {
		c.addProblem("%s: %v", file, err)
		return
	}
	if !rendersAs(text, v) {
		c.addProblem("%q is %v in %s#%s", text, v, file, reference)
	}
	if name == "" {
		return
	}
	c.names[name], err = c.names.evaluate(numberPattern.FindString(text))
	if err != nil {
		c.addProblem("%q: %v", text, err)
	}
}

// checkRow checks the basis of a table's row.
func (c *pageChecker) checkRow(line string, hasMeasured bool) {
	if !strings.HasPrefix(line, "|") {
		c.basis = -1
		return
	}
	cells := splitCells(line)
	switch {
	case c.basis < 0:
		c.startTable(cells)
	case strings.HasPrefix(cells[0], "---"):
	case c.basis >= len(cells):
		c.addProblem("no cell for the basis")
	default:
		c.checkBasis(cells, hasMeasured)
	}
}

func splitCells(row string) []string {
	cells := strings.Split(strings.Trim(strings.TrimSpace(row), "|"), "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells
}

// checkBasis compares a row's basis with its cells.
func (c *pageChecker) checkBasis(cells []string, hasMeasured bool) {
	basis := cells[c.basis]
	switch {
	case !basisPattern.MatchString(basis):
		c.addProblem("%q is no basis", basis)
	case basis == basisMeasured && !hasMeasured:
		c.addProblem("measured, with no kept result")
	case basis == basisComputed && len(c.computed) == 0:
		c.addProblem("worked out, with no formula")
	case basis == basisComputed:
		for _, i := range c.columns {
			c.checkPlainNumber(cells[i])
		}
	case strings.HasPrefix(basis, basisNotMeasured) && hasMeasured:
		c.addProblem("not measured, with a kept result")
	}
}

// startTable takes the first row of a table.
func (c *pageChecker) startTable(cells []string) {
	c.basis = slices.Index(cells, basisColumn)
	c.columns = nil
	for i, cell := range cells {
		if isComputedColumn(cell) {
			c.columns = append(c.columns, i)
		}
	}
}

// checkPlainNumber checks that a cell's number, which is neither a formula nor a link, is one that the row computed
// or that has a name.
func (c *pageChecker) checkPlainNumber(cell string) {
	if strings.ContainsAny(cell, "`[") || !numberPattern.MatchString(cell) {
		return
	}
	for _, v := range c.computed {
		if rendersAs(cell, v) {
			return
		}
	}
	for _, v := range c.names {
		if rendersAs(cell, v) {
			return
		}
	}
	c.addProblem("%q is not what the row computes", cell)
}
