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

// formulas checks the page's formulas; it has the value of each name that was given before. A formula is NAME =
// EXPRESSION, EXPRESSION = NUMBER, or both in one: NAME = EXPRESSION = NUMBER. Expressions have numbers (1,500 or
// 1e6), names, + - * /, brackets and the functions of formulaFunctions. The number has to be the expression's value,
// rounded to the decimals shown.
type formulas map[string]float64

var (
	errNotGiven   = errors.New("was not given before")
	errOperator   = errors.New("no operator")
	errFunction   = errors.New("no such function")
	errExpression = errors.New("no expression of numbers and names")
)

// formulaFunctions are called with one argument at least.
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

// check checks one formula, and keeps the name that it gives. It returns the formula's last value.
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
			return 0, fmt.Errorf("%s: %v", text, v)
		}
	}
	if name != "" {
		f[name] = values[last]
	}
	return values[last], nil
}

// evaluate is the value of an expression.
func (f formulas) evaluate(text string) (float64, error) {
	e, err := parser.ParseExpr(withoutThousands(text))
	if err != nil {
		return 0, err
	}
	return f.eval(e)
}

func (f formulas) eval(e ast.Expr) (float64, error) {
	switch e := e.(type) {
	case *ast.BasicLit:
		return strconv.ParseFloat(e.Value, 64)
	case *ast.Ident:
		v, ok := f[e.Name]
		if !ok {
			return 0, fmt.Errorf("%s %w", e.Name, errNotGiven)
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

// withoutThousands removes the commas between thousandsPattern.
func withoutThousands(text string) string {
	for thousandsPattern.MatchString(text) {
		text = thousandsPattern.ReplaceAllString(text, "$1$2")
	}
	return text
}

const (
	percent = 100
	// binaryError is the relative error that the binary form of a number may have.
	binaryError = 1e-9
)

// rendersAs reports whether the first number of a text is this value, rounded to as many decimals; with a per cent
// sign behind the number, the value in per cent.
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
