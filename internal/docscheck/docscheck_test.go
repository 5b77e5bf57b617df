// Package docscheck tests that the symbols and paths named in the documentation exist. It contains only tests.
package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const root = "../.."

// symbols is the set of names that a package declares: functions, types, constants and variables, and "Type.Member" for
// fields and methods.
type symbols map[string]bool

// declared returns the symbols of all packages of the module, by the name of the package. Packages with the same name
// share an entry.
func declared(t *testing.T) map[string]symbols {
	t.Helper()
	all := map[string]symbols{}
	files := token.NewFileSet()
	for _, folder := range []string{"decision", "internal", "cmd", "lab", "example"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			name := strings.TrimSuffix(file.Name.Name, "_test")
			if name == "main" {
				name = filepath.Base(filepath.Dir(path))
			}
			if all[name] == nil {
				all[name] = symbols{}
			}
			all[name].add(file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return all
}

func (s symbols) add(file *ast.File) {
	for _, decl := range file.Decls {
		switch decl := decl.(type) {
		case *ast.FuncDecl:
			s[receiver(decl)+decl.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range decl.Specs {
				s.addSpec(spec)
			}
		}
	}
}

// receiver returns "Type." for a method, and "" for a function.
func receiver(decl *ast.FuncDecl) string {
	if decl.Recv == nil {
		return ""
	}
	typ := decl.Recv.List[0].Type
	for {
		switch t := typ.(type) {
		case *ast.StarExpr:
			typ = t.X
		case *ast.IndexExpr:
			typ = t.X
		case *ast.Ident:
			return t.Name + "."
		default:
			return ""
		}
	}
}

func (s symbols) addSpec(spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			s[name.Name] = true
		}
	case *ast.TypeSpec:
		s[spec.Name.Name] = true
		var members *ast.FieldList
		switch t := spec.Type.(type) {
		case *ast.StructType:
			members = t.Fields
		case *ast.InterfaceType:
			members = t.Methods
		}
		if members == nil {
			return
		}
		for _, field := range members.List {
			for _, name := range field.Names {
				s[spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}

var (
	codeSpan = regexp.MustCompile("`([^`\n]+)`")
	symbol   = regexp.MustCompile(`^([a-z][a-z0-9-]*)\.([A-Za-z_]\w*(?:\.\w+)?)(?:\(\))?$`)
	folder   = regexp.MustCompile(`^(?:decision|internal|cmd|lab|docs|deploy)/[\w./-]*$`)
)

// minSymbols is the minimum number of symbols on a page whose purpose is to lead readers to the code.
const minSymbols = 30

// pages returns the pages to check, and the minimum number of symbols that each must name.
func pages(t *testing.T) map[string]int {
	t.Helper()
	all := map[string]int{
		"README.md":            0,
		"docs/GLOSSARY.md":     minSymbols,
		"docs/ARCHITECTURE.md": minSymbols,
		"docs/CAPACITY.md":     0,
	}
	for _, folder := range []string{"design", "operate", "protocol"} {
		found, err := filepath.Glob(filepath.Join(root, "docs", folder, "*.md"))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range found {
			all["docs/"+folder+"/"+filepath.Base(path)] = 0
		}
	}
	return all
}

// Every symbol of a package of this module, and every path of the repository, that a page names in a code span exists.
func TestPagesNameWhatExists(t *testing.T) {
	packages := declared(t)
	for page, want := range pages(t) {
		text, err := os.ReadFile(filepath.Join(root, page))
		if err != nil {
			t.Fatal(err)
		}
		checked := 0
		for number, line := range strings.Split(string(text), "\n") {
			for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
				if isSymbol, problem := checkSpan(packages, span[1]); problem != "" {
					t.Errorf("%s:%d: %s", page, number+1, problem)
				} else if isSymbol {
					checked++
				}
			}
		}
		if checked < want {
			t.Errorf("%s names %d symbols, want at least %d: it must name rules and terms by their symbols",
				page, checked, want)
		}
	}
}

// checkSpan checks the symbol or path that a code span names. It reports whether the span names a symbol of a package
// of this module, and the problem, "" if there is none. A span that names neither a symbol nor a path has no problem.
func checkSpan(packages map[string]symbols, span string) (isSymbol bool, problem string) {
	if folder.MatchString(span) {
		if _, err := os.Stat(filepath.Join(root, span)); err != nil {
			return false, "there is no " + span
		}
		return false, ""
	}
	match := symbol.FindStringSubmatch(span)
	if match == nil || packages[match[1]] == nil {
		return false, ""
	}
	if !packages[match[1]][match[2]] {
		return true, "package " + match[1] + " has no " + match[2]
	}
	return true, ""
}
