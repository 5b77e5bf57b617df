package capacity

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"math"
	"regexp"
	"strconv"
	"strings"
)

// formulas checks the formulas of the page; it maps each name that was defined so far to its value. A formula is NAME =
// EXPRESSION, EXPRESSION = NUMBER, or both: NAME = EXPRESSION = NUMBER. An expression consists of numbers (1,500 or
// 1e6), names, + - * /, parentheses and calls of formulaFunctions. The number must be the value of the expression,
// rounded to the decimals shown.
type formulas map[string]float64

var (
	errUndefined  = errors.New("undefined name")
	errOperator   = errors.New("unsupported operator")
	errFunction   = errors.New("unknown function or missing argument")
	errExpression = errors.New("unsupported expression")
)

// formulaFunctions returns the functions of formulas by name. They are called with at least one argument; min and max
// take the first and the last.
func formulaFunctions() map[string]func(v ...float64) float64 {
	return map[string]func(v ...float64) float64{
		"log2": func(v ...float64) float64 { return math.Log2(v[0]) },
		"ceil": func(v ...float64) float64 { return math.Ceil(v[0]) },
		"min":  func(v ...float64) float64 { return min(v[0], v[len(v)-1]) },
		"max":  func(v ...float64) float64 { return max(v[0], v[len(v)-1]) },
	}
}

var (
	namePattern      = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)
	numberPattern    = regexp.MustCompile(`-?\d[\d,]*(\.\d+)?(e\d+)?`)
	thousandsPattern = regexp.MustCompile(`(\d),(\d{3})\b`)
)

// check checks a formula and returns its last value. If the formula defines a name, the name is stored with that value.
func (f formulas) check(text string) (float64, error) {
	parts := strings.Split(text, " = ")
	name := ""
	if _, given := f[parts[0]]; namePattern.MatchString(parts[0]) && !given {
		name = parts[0]
		parts = parts[1:]
	}
	var values []float64
	for _, part := range parts {
		v, err := f.evaluate(part)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", text, err)
		}
		values = append(values, v)
	}
	last := len(parts) - 1
	for _, v := range values[:last] {
		if !rendersAs(parts[last], v) {
			return 0, fmt.Errorf("%s: the value is %v", text, v)
		}
	}
	if name != "" {
		f[name] = values[last]
	}
	return values[last], nil
}

// evaluate returns the value of an expression.
func (f formulas) evaluate(text string) (float64, error) {
	e, err := parser.ParseExpr(withoutThousands(text))
	if err != nil {
		return 0, err
	}
	return f.eval(e)
}

// eval returns the value of a parsed expression.
func (f formulas) eval(e ast.Expr) (float64, error) {
	switch e := e.(type) {
	case *ast.BasicLit:
		return strconv.ParseFloat(e.Value, 64)
	case *ast.Ident:
		v, ok := f[e.Name]
		if !ok {
			return 0, fmt.Errorf("%w %s", errUndefined, e.Name)
		}
		return v, nil
	case *ast.ParenExpr:
		return f.eval(e.X)
	case *ast.UnaryExpr:
		if e.Op != token.SUB {
			return 0, fmt.Errorf("%w %s", errOperator, e.Op)
		}
		v, err := f.eval(e.X)
		return -v, err
	case *ast.BinaryExpr:
		return f.binary(e)
	case *ast.CallExpr:
		return f.call(e)
	default:
		return 0, errExpression
	}
}

// binary returns the value of an expression with a binary operator.
func (f formulas) binary(e *ast.BinaryExpr) (float64, error) {
	x, err := f.eval(e.X)
	if err != nil {
		return 0, err
	}
	y, err := f.eval(e.Y)
	if err != nil {
		return 0, err
	}
	switch e.Op {
	case token.ADD:
		return x + y, nil
	case token.SUB:
		return x - y, nil
	case token.MUL:
		return x * y, nil
	case token.QUO:
		return x / y, nil
	default:
		return 0, fmt.Errorf("%w %s", errOperator, e.Op)
	}
}

// call returns the value of a function call.
func (f formulas) call(e *ast.CallExpr) (float64, error) {
	name, ok := e.Fun.(*ast.Ident)
	if !ok || len(e.Args) == 0 {
		return 0, errFunction
	}
	function := formulaFunctions()[name.Name]
	if function == nil {
		return 0, errFunction
	}
	var values []float64
	for _, argument := range e.Args {
		v, err := f.eval(argument)
		if err != nil {
			return 0, err
		}
		values = append(values, v)
	}
	return function(values...), nil
}

// withoutThousands removes the commas that separate groups of thousands.
func withoutThousands(text string) string {
	for thousandsPattern.MatchString(text) {
		text = thousandsPattern.ReplaceAllString(text, "$1$2")
	}
	return text
}

const (
	percent = 100
	// binaryError is the relative error that is allowed for the binary representation of a decimal number.
	binaryError = 1e-9
)

// rendersAs reports whether the first number of a text is v, rounded to the decimals that the number has. A number with
// a percent sign must be v in percent.
func rendersAs(text string, v float64) bool {
	at := numberPattern.FindStringIndex(text)
	if at == nil {
		return false
	}
	number := withoutThousands(text[at[0]:at[1]])
	shown, err := strconv.ParseFloat(number, 64)
	if strings.HasPrefix(text[at[1]:], "%") {
		v *= percent
	}
	_, decimals, _ := strings.Cut(number, ".")
	unit := math.Pow10(-len(decimals))
	return err == nil && math.Abs(shown-v) <= unit/2+binaryError*math.Abs(v)
}
