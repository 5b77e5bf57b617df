package capacity

import (
	"bufio"
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// Syntax of the figures on the page. A measured figure is a link to its stored result,
// [1,234](results/FILE.json#NAME), and may be given a name by `name` = before it. A formula is a code span with an
// equals sign, see formulas.
var (
	measuredPattern = regexp.MustCompile(
		"(?:`([a-z][a-z0-9_]*)` = )?" + `\[([^\]]*)\]\((results/[^)#]+\.(?:json|csv))#([^)]+)\)`,
	)
	formulaPattern = regexp.MustCompile("`([^`]+ = [^`]+)`")
	basisPattern   = regexp.MustCompile(`^(measured|worked out|published \(.+\)|not measured(: .+)?|told by .+)$`)
)

const (
	// basisColumn is the heading of the column with the basis of each row.
	basisColumn = "basis"

	basisMeasured    = "measured"
	basisComputed    = "worked out"
	basisNotMeasured = "not measured"
)

// isComputedColumn reports whether a column with this heading is computed: if the basis of a row is "worked out", each
// plain number in the column must be computed by the row or be the value of a name.
func isComputedColumn(head string) bool { return head == "at the target" || head == "ratio" }

// Page is the result of checking a page.
type Page struct {
	Measured int                // number of measured figures
	Formulas int                // number of formulas
	Problems []string           // one for each problem, with the line number
	Names    map[string]float64 // values of the names that formulas and measured figures define
}

// pageChecker checks a page line by line.
type pageChecker struct {
	Page
	line     int
	read     func(file string) ([]Run, error) // reads a stored result by its path from the page's folder
	names    formulas
	computed []float64 // values of the formulas in the current line
	basis    int       // index of the basis column in the current table; -1: none
	columns  []int     // indexes of the computed columns
	fenced   bool      // whether the current line is in a fenced code block
}

// Check compares each measured figure with its stored result, each formula with its operands, and the basis of each row
// with its cells: a row with the basis "measured" must have a measured figure, and a row with the basis "worked out" a
// formula. read returns the runs of a stored result, given its path from the folder of the page. Differences are listed
// in Page.Problems.
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

// addProblem adds a problem with the number of the current line.
func (c *pageChecker) addProblem(format string, args ...any) {
	c.Problems = append(c.Problems, fmt.Sprintf("line %d: %s", c.line, fmt.Sprintf(format, args...)))
}

// check checks the next line.
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

// checkLinks checks the measured figures of a line. Those in code spans are examples, and are not checked.
func (c *pageChecker) checkLinks(line string) {
	for _, at := range measuredPattern.FindAllStringIndex(line, -1) {
		inCodeSpan := strings.Count(line[:at[0]], "`")%2 == 1
		if !inCodeSpan {
			m := measuredPattern.FindStringSubmatch(line[at[0]:at[1]])
			c.checkMeasured(m[1], m[2], m[3], m[4])
		}
	}
}

// checkFormulas checks the formulas of a line, and stores their values.
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

// checkMeasured checks a measured figure. If the figure has a name, the name is stored with the value that is shown.
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

// checkRow checks the basis of a row of a table. Any other line ends the current table.
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
		c.addProblem("the row has no basis cell")
	default:
		c.checkBasis(cells, hasMeasured)
	}
}

// splitCells returns the cells of a row.
func splitCells(row string) []string {
	cells := strings.Split(strings.Trim(strings.TrimSpace(row), "|"), "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells
}

// checkBasis compares the basis of a row with its cells.
func (c *pageChecker) checkBasis(cells []string, hasMeasured bool) {
	basis := cells[c.basis]
	switch {
	case !basisPattern.MatchString(basis):
		c.addProblem("%q is not a basis", basis)
	case basis == basisMeasured && !hasMeasured:
		c.addProblem("the basis is 'measured', but there is no stored result")
	case basis == basisComputed && len(c.computed) == 0:
		c.addProblem("the basis is 'worked out', but there is no formula")
	case basis == basisComputed:
		for _, i := range c.columns {
			c.checkPlainNumber(cells[i])
		}
	case strings.HasPrefix(basis, basisNotMeasured) && hasMeasured:
		c.addProblem("the basis is 'not measured', but there is a stored result")
	}
}

// startTable reads the heading of a table.
func (c *pageChecker) startTable(cells []string) {
	c.basis = slices.Index(cells, basisColumn)
	c.columns = nil
	for i, cell := range cells {
		if isComputedColumn(cell) {
			c.columns = append(c.columns, i)
		}
	}
}

// checkPlainNumber checks that a number in a cell, if it is neither a formula nor a link, is computed by the row or is
// the value of a name.
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
	c.addProblem("%q is not a number that the row computes", cell)
}
