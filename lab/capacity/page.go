package capacity

import (
	"bufio"
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// The forms that the page has for what it says. A measured figure is a link to the kept result in which it stands,
// [1,234](results/FILE.json#NAME), and a name may be given to it with `name` = before. A formula stands in a code
// span with an equals sign in it, see formulas.
var (
	measuredPattern = regexp.MustCompile(
		"(?:`([a-z][a-z0-9_]*)` = )?" + `\[([^\]]*)\]\((results/[^)#]+\.(?:json|csv))#([^)]+)\)`,
	)
	formulaPattern = regexp.MustCompile("`([^`]+ = [^`]+)`")
	basisPattern   = regexp.MustCompile(`^(measured|worked out|published \(.+\)|not measured(: .+)?|told by .+)$`)
)

// basisColumn heads the column of a table that tells what a row's figures rest on.
const basisColumn = "basis"

// computedColumns head the columns in which a plain number of a row that was worked out has to be one that the row
// computes, or one that has a name.
var computedColumns = []string{"at the target", "ratio"}

// Page is what a page was found to hold.
type Page struct {
	Measured, Formulas int
	Wrong              []string           // a line each, with the number of the page's line
	Names              map[string]float64 // that formulas and figures were given
}

type checker struct {
	Page
	line     int
	read     func(file string) ([]Run, error) // a kept result by its path from the page's folder
	names    formulas
	computed []float64 // by the formulas of the present line
	basis    int       // the place of the basis column in the present table, -1 where there is none
	columns  []int     // the places of the computed columns
	fenced   bool
}

// Check holds each measured figure against its kept result, each formula against its operands, and each row's basis
// against what stands in it: a measured row has a measured figure, and one that was worked out has a formula.
func Check(text []byte, read func(file string) ([]Run, error)) Page {
	c := &checker{read: read, names: formulas{}, basis: -1}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		c.line++
		c.check(lines.Text())
	}
	if err := lines.Err(); err != nil {
		c.wrong("%v", err)
	}
	c.Names = c.names
	return c.Page
}

func (c *checker) wrong(format string, args ...any) {
	c.Wrong = append(c.Wrong, fmt.Sprintf("line %d: %s", c.line, fmt.Sprintf(format, args...)))
}

func (c *checker) check(line string) {
	if strings.HasPrefix(strings.TrimSpace(line), "```") {
		c.fenced = !c.fenced
	}
	if c.fenced {
		return
	}
	measured := c.Measured
	c.computed = c.computed[:0]
	for _, at := range measuredPattern.FindAllStringIndex(line, -1) {
		if strings.Count(line[:at[0]], "`")%2 == 0 { // else it is within a code span, as an example
			m := measuredPattern.FindStringSubmatch(line[at[0]:at[1]])
			c.measured(m[1], m[2], m[3], m[4])
		}
	}
	for _, m := range formulaPattern.FindAllStringSubmatch(line, -1) {
		c.Formulas++
		v, err := c.names.take(m[1])
		if err != nil {
			c.wrong("%v", err)
		}
		c.computed = append(c.computed, v)
	}
	c.row(line, c.Measured > measured)
}

// measured checks one figure, and keeps the name that it is given: it stands for what is shown.
func (c *checker) measured(name, text, file, reference string) {
	c.Measured++
	runs, err := c.read(file)
	if err != nil {
		c.wrong("%v", err)
		return
	}
	v, err := Find(runs, reference)
	if err != nil {
		c.wrong("%s: %v", file, err)
		return
	}
	if !shows(text, v) {
		c.wrong("%q is %v in %s#%s", text, v, file, reference)
	}
	if name != "" {
		c.names[name], err = c.names.value(numberPattern.FindString(text))
		if err != nil {
			c.wrong("%q: %v", text, err)
		}
	}
}

// row checks the basis of a table's row.
func (c *checker) row(line string, measured bool) {
	if !strings.HasPrefix(line, "|") {
		c.basis = -1
		return
	}
	cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	if c.basis < 0 {
		c.head(cells)
		return
	}
	if strings.HasPrefix(cells[0], "---") {
		return
	}
	if c.basis >= len(cells) {
		c.wrong("no cell for the basis")
		return
	}
	basis := cells[c.basis]
	switch {
	case !basisPattern.MatchString(basis):
		c.wrong("%q is no basis", basis)
	case basis == "measured" && !measured:
		c.wrong("measured, with no kept result")
	case basis == "worked out" && len(c.computed) == 0:
		c.wrong("worked out, with no formula")
	case basis == "worked out":
		for _, i := range c.columns {
			c.plainNumber(cells[i])
		}
	case strings.HasPrefix(basis, "not measured") && measured:
		c.wrong("not measured, with a kept result")
	}
}

// head takes the first row of a table.
func (c *checker) head(cells []string) {
	c.basis, c.columns = slices.Index(cells, basisColumn), nil
	for i, cell := range cells {
		if slices.Contains(computedColumns, cell) {
			c.columns = append(c.columns, i)
		}
	}
}

// plainNumber checks that a cell's number, which is no formula itself, is one that was computed or has a name.
func (c *checker) plainNumber(cell string) {
	if strings.ContainsAny(cell, "`[") || !numberPattern.MatchString(cell) {
		return
	}
	for _, v := range c.computed {
		if shows(cell, v) {
			return
		}
	}
	for _, v := range c.names {
		if shows(cell, v) {
			return
		}
	}
	c.wrong("%q is not what the row computes", cell)
}
