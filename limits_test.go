// Package chalkstand_test checks the source files of the module: their length, their imports, the
// CI scripts and the list of tests that are known to fail.
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
	maxColumns       = 110 // columns in a line, where a tab counts as 4
	maxFunctionLines = 60  // lines in a function, including its signature and braces
	minFileComment   = 40  // characters in the comment at the top of a file
)

// TestDispatchStaysReadable checks that package dispatch has no long lines and no long functions.
// Each file must begin with a comment that says what the file decides and which state it owns.
func TestDispatchStaysReadable(t *testing.T) {
	files, err := filepath.Glob("dispatch/*.go")
	if err != nil || len(files) == 0 {
		t.Fatal("dispatch/*.go: got no files, want at least one; error:", err)
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
			t.Errorf("%s:%d: line has %d columns, want at most %d", name, i+1, w, maxColumns)
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
	if len(file.Comments) == 0 || file.Comments[0].Pos() > file.Package || len(file.Comments[0].Text()) < minFileComment {
		t.Errorf("%s: want a comment at the top on what the file decides and which state it owns, got none or a short one", name)
	}
	for _, d := range file.Decls {
		if f, ok := d.(*ast.FuncDecl); ok {
			if n := fset.Position(f.End()).Line - fset.Position(f.Pos()).Line + 1; n > maxFunctionLines {
				t.Errorf("%s: function %s has %d lines, want at most %d", name, f.Name.Name, n, maxFunctionLines)
			}
		}
	}
}
