// Package docscheck holds the pages that name code against the code. It has nothing but this test.
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

// symbols are the declared names of a package: functions, types, constants, variables, and "Type.Member" for methods,
// fields and methods of interfaces.
type symbols map[string]bool

// declared returns the names of all packages of the module, by the package's name. Packages of one name share an entry.
func declared(t *testing.T) map[string]symbols {
	t.Helper()
	all := map[string]symbols{}
	files := token.NewFileSet()
	for _, folder := range []string{"decision", "internal", "cmd", "lab", "example"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			name := file.Name.Name
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

// receiver is "Type." for a method, and nothing for a function.
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

// Each code span that names a symbol of a package of this module, or a path of the repository, names one that there is.
func TestPagesNameWhatExists(t *testing.T) {
	all := declared(t)
	for _, page := range []string{"docs/GLOSSARY.md", "docs/ARCHITECTURE.md"} {
		text, err := os.ReadFile(filepath.Join(root, page))
		if err != nil {
			t.Fatal(err)
		}
		checked := 0
		for number, line := range strings.Split(string(text), "\n") {
			for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
				if folder.MatchString(span[1]) {
					if _, err := os.Stat(filepath.Join(root, span[1])); err != nil {
						t.Errorf("%s:%d: no %s", page, number+1, span[1])
					}
					continue
				}
				match := symbol.FindStringSubmatch(span[1])
				if match == nil || all[match[1]] == nil {
					continue
				}
				checked++
				if !all[match[1]][match[2]] {
					t.Errorf("%s:%d: package %s has no %s", page, number+1, match[1], match[2])
				}
			}
		}
		if checked < 30 {
			t.Errorf("%s names %d symbols; it is to name the rules and terms by their symbols", page, checked)
		}
	}
}
