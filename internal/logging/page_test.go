package logging

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const page = "../../docs/operate/logging.md"

// sources returns the non-test files of all packages that log.
func sources(t *testing.T) []string {
	t.Helper()
	var files []string
	for _, dir := range []string{"../../cmd/spurspread", "../proxy", "../peer", "../discovery", "../admin"} {
		found, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(found) == 0 {
			t.Fatalf("%s: %d files, %v, want at least 1", dir, len(found), err)
		}
		files = append(files, found...)
	}
	return slices.DeleteFunc(files, func(file string) bool { return strings.HasSuffix(file, "_test.go") })
}

// literals returns the values of the string literals that pick selects in a file. pick may return nil.
func literals(t *testing.T, file string, pick func(ast.Node) ast.Expr) []string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var texts []string
	ast.Inspect(parsed, func(n ast.Node) bool {
		literal, ok := pick(n).(*ast.BasicLit)
		if ok && literal.Kind == token.STRING {
			text, err := strconv.Unquote(literal.Value)
			if err != nil {
				t.Fatal(err)
			}
			texts = append(texts, text)
		}
		return true
	})
	return texts
}

// message returns the first argument if n is a call of Info, Warn or Error, otherwise nil.
func message(n ast.Node) ast.Expr {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return nil
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains([]string{"Info", "Warn", "Error"}, method.Sel.Name) {
		return nil
	}
	return call.Args[0]
}

// fieldName returns the value if n declares a single constant or variable, otherwise nil.
func fieldName(n ast.Node) ast.Expr {
	if spec, ok := n.(*ast.ValueSpec); ok && len(spec.Values) == 1 {
		return spec.Values[0]
	}
	return nil
}

// The operators' page lists every message and every field that is logged, and no other message.
func TestPageListsTheLog(t *testing.T) {
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	messages := string(text)
	var logged []string
	for _, file := range sources(t) {
		for _, m := range literals(t, file, message) {
			m = strings.TrimSuffix(m, ": ")
			logged = append(logged, m)
			if !strings.Contains(messages, "| `"+m+"` |") && !strings.Contains(messages, "| `"+m+": ...` |") {
				t.Errorf("%s: message %q is not on %s", file, m, page)
			}
		}
	}
	if len(logged) < 20 {
		t.Errorf("found %d messages, want at least 20", len(logged))
	}
	_, table, _ := strings.Cut(messages, "## Messages")
	table, fields, _ := strings.Cut(table, "## Fields")
	for _, line := range strings.Split(table, "\n") {
		m, isRow := strings.CutPrefix(line, "| `")
		m, _, _ = strings.Cut(m, "`")
		if isRow && !slices.Contains(logged, strings.TrimSuffix(m, ": ...")) {
			t.Errorf("message %q on %s is not logged", m, page)
		}
	}
	names := literals(t, "fields.go", fieldName)
	if len(names) < 30 {
		t.Errorf("found %d fields, want at least 30", len(names))
	}
	for _, name := range names {
		if !strings.Contains(fields, "`"+name) {
			t.Errorf("field %q is not on %s", name, page)
		}
	}
}
