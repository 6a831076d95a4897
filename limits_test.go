// Package chalkstand_test holds checks on the sources: their form, and what imports what.
package chalkstand_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

const (
	maxColumns       = 110 // of a line, a tab counted as 4
	maxFunctionLines = 60  // of a function, its signature and braces included
	minOpening       = 40  // characters of the comment that opens a file
)

// The package that decides stays readable: no line and no function is long, and each file
// opens with a comment that says what it decides and which state it owns.
func TestModuleStaysReadable(t *testing.T) {
	files, err := filepath.Glob("dispatch/*.go")
	if err != nil || len(files) == 0 {
		t.Fatal("no files", err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		checkColumns(t, name, string(text))
		checkDeclarations(t, name, text)
	}
}

func checkColumns(t *testing.T, name, text string) {
	t.Helper()
	for i, l := range strings.Split(text, "\n") {
		if w := utf8.RuneCountInString(strings.ReplaceAll(l, "\t", "    ")); w > maxColumns {
			t.Errorf("%s:%d: %d columns, at most %d", name, i+1, w, maxColumns)
		}
	}
}

func checkDeclarations(t *testing.T, name string, text []byte) {
	t.Helper()
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, name, text, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	if len(file.Comments) == 0 || file.Comments[0].Pos() > file.Package || len(file.Comments[0].Text()) < minOpening {
		t.Errorf("%s does not open with a comment on what it decides and owns", name)
	}
	for _, d := range file.Decls {
		if f, ok := d.(*ast.FuncDecl); ok {
			if n := fset.Position(f.End()).Line - fset.Position(f.Pos()).Line + 1; n > maxFunctionLines {
				t.Errorf("%s: %s has %d lines, at most %d", name, f.Name.Name, n, maxFunctionLines)
			}
		}
	}
}
