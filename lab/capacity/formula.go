package capacity

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"math"
	"regexp"
	"strconv"
	"strings"
)

// A formula on the page is NAME = EXPRESSION, EXPRESSION = NUMBER, or both in one: NAME = EXPRESSION = NUMBER.
// Expressions have numbers (1,500 or 1e6), names given before, + - * /, brackets and the functions below. The
// number has to be what the expression gives, rounded to the decimals shown.
type formulas map[string]float64

var functions = map[string]func(v ...float64) float64{
	"log2": func(v ...float64) float64 { return math.Log2(v[0]) },
	"ceil": func(v ...float64) float64 { return math.Ceil(v[0]) },
	"min":  func(v ...float64) float64 { return min(v[0], v[len(v)-1]) },
	"max":  func(v ...float64) float64 { return max(v[0], v[len(v)-1]) },
}

var (
	namePattern   = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)
	numberPattern = regexp.MustCompile(`-?\d[\d,]*(\.\d+)?(e\d+)?`)
	thousands     = regexp.MustCompile(`(\d),(\d{3})\b`)
)

// take checks one formula, and keeps the name that it gives. It returns what the formula says.
func (f formulas) take(text string) (float64, error) {
	parts := strings.Split(text, " = ")
	name := ""
	if _, given := f[parts[0]]; namePattern.MatchString(parts[0]) && !given {
		name, parts = parts[0], parts[1:]
	}
	var values []float64
	for _, p := range parts {
		v, err := f.value(p)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", text, err)
		}
		values = append(values, v)
	}
	last := len(parts) - 1
	for _, v := range values[:last] {
		if !shows(parts[last], v) {
			return 0, fmt.Errorf("%s: %v", text, v)
		}
	}
	if name != "" {
		f[name] = values[last]
	}
	return values[last], nil
}

func (f formulas) value(text string) (float64, error) {
	e, err := parser.ParseExpr(plain(text))
	if err != nil {
		return 0, err
	}
	return f.of(e)
}

func (f formulas) of(e ast.Expr) (float64, error) {
	switch e := e.(type) {
	case *ast.BasicLit:
		return strconv.ParseFloat(e.Value, 64)
	case *ast.Ident:
		if v, is := f[e.Name]; is {
			return v, nil
		}
		return 0, fmt.Errorf("%s was not given before", e.Name)
	case *ast.ParenExpr:
		return f.of(e.X)
	case *ast.UnaryExpr:
		v, err := f.of(e.X)
		if e.Op != token.SUB {
			return 0, fmt.Errorf("no operator %s", e.Op)
		}
		return -v, err
	case *ast.BinaryExpr:
		return f.binary(e)
	case *ast.CallExpr:
		return f.call(e)
	}
	return 0, fmt.Errorf("no expression of numbers and names")
}

func (f formulas) binary(e *ast.BinaryExpr) (float64, error) {
	x, err := f.of(e.X)
	if err != nil {
		return 0, err
	}
	y, err := f.of(e.Y)
	switch e.Op {
	case token.ADD:
		return x + y, err
	case token.SUB:
		return x - y, err
	case token.MUL:
		return x * y, err
	case token.QUO:
		return x / y, err
	}
	return 0, fmt.Errorf("no operator %s", e.Op)
}

func (f formulas) call(e *ast.CallExpr) (float64, error) {
	name, _ := e.Fun.(*ast.Ident)
	if name == nil || functions[name.Name] == nil || len(e.Args) == 0 {
		return 0, fmt.Errorf("no such function")
	}
	var values []float64
	for _, a := range e.Args {
		v, err := f.of(a)
		if err != nil {
			return 0, err
		}
		values = append(values, v)
	}
	return functions[name.Name](values...), nil
}

// plain takes the commas between thousands out.
func plain(text string) string {
	for thousands.MatchString(text) {
		text = thousands.ReplaceAllString(text, "$1$2")
	}
	return text
}

// shows tells whether a text shows this value: whether its first number is the value rounded to as many decimals;
// with a per cent sign behind the number, of the hundredfold value.
func shows(text string, v float64) bool {
	at := numberPattern.FindStringIndex(text)
	if at == nil {
		return false
	}
	number := plain(text[at[0]:at[1]])
	shown, err := strconv.ParseFloat(number, 64)
	if strings.HasPrefix(text[at[1]:], "%") {
		v *= 100
	}
	_, decimals, _ := strings.Cut(number, ".")
	unit := math.Pow10(-len(decimals))
	// Half a unit of the last decimal shown, and what the binary form of numbers may be off.
	return err == nil && math.Abs(shown-v) <= unit/2+1e-9*math.Abs(v)
}
