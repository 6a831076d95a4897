package chalkstand_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// layer is a level of the architecture (docs/architecture.md). A package imports packages of
// its own layer and of lower ones.
type layer int

const (
	decisions   layer = iota + 1 // decisions and state: no I/O, clock or goroutine
	codecs                       // bytes to values and back: no I/O, clock or goroutine
	ioLayer                      // event loops, discovery, logs, settings
	servers                      // servers, fakes and tools
	commands                     // programs
	testSupport                  // test kits: imported by test files only
)

// layers lists every package of the module.
var layers = map[string]layer{
	"attribution":         decisions,
	"costmodel":           decisions,
	"dispatch":            decisions,
	"fairshare":           decisions,
	"forwarder":           decisions,
	"internal/timerqueue": decisions,
	"overload":            decisions,
	"placement":           decisions,

	"internal/endpoints":     codecs,
	"internal/http1":         codecs,
	"internal/objectapi":     codecs,
	"internal/objectcommand": codecs,
	"internal/payload":       codecs,
	"internal/resp":          codecs,
	"internal/sigv4":         codecs,
	"internal/simwire":       codecs,
	"internal/upstreamhttp":  codecs,

	"internal/attributionlog": ioLayer,
	"internal/discovery":      ioLayer,
	"internal/eventloop":      ioLayer,
	"internal/settings":       ioLayer,
	"internal/signals":        ioLayer,
	"trace":                   ioLayer,

	"fake/disconnect":            servers,
	"fake/discovery":             servers,
	"fake/respnode":              servers,
	"fake/storagenode":           servers,
	"gateway":                    servers,
	"internal/attributionreport": servers,
	"internal/modelcheck":        servers,
	"lab/attributiontest":        servers,
	"lab/bench":                  servers,
	"lab/faultinjection":         servers,
	"lab/invariants":             servers,
	"lab/mutation":               servers,
	"lab/stall":                  servers,
	"lab/soak":                   servers,
	"lab/schedulereplay":         servers,
	"lab/sigv4client":            servers,
	"respserver":                 servers,

	"cmd/chalkstand": commands,
	"cmd/simhost":    commands,

	"internal/e2e":     testSupport,
	"internal/testfd":  testSupport,
	"internal/testkit": testSupport,
}

// impure are the packages outside the module that reach the outside world.
var impure = []string{"net", "net/http", "os", "os/exec", "os/signal", "syscall", "log", "io/fs"}

// clockFunctions are those of package time that read a clock or wait.
var clockFunctions = []string{
	"Now", "Since", "Until", "Sleep", "After", "NewTimer", "NewTicker", "AfterFunc", "Tick",
}

// Every import goes downward or stays on its layer, every package has a layer, and the pure
// layers touch neither the outside world nor a clock nor goroutines.
func TestLayers(t *testing.T) {
	seen := map[string]bool{}
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if path != "." && (strings.HasPrefix(d.Name(), ".") || d.Name() == "testdata") {
				return filepath.SkipDir
			}
			return nil
		}
		dir := filepath.ToSlash(filepath.Dir(path))
		if dir == "." || !strings.HasSuffix(path, ".go") {
			return nil
		}
		seen[dir] = true
		checkImports(t, path, dir)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for dir := range layers {
		if !seen[dir] {
			t.Errorf("layers lists %s, which is not there", dir)
		}
	}
}

func checkImports(t *testing.T, file, dir string) {
	t.Helper()
	level, listed := layers[dir]
	if !listed {
		t.Errorf("%s: package %s has no layer", file, dir)
		return
	}
	isTest := strings.HasSuffix(file, "_test.go")
	fset := token.NewFileSet()
	tree, err := parser.ParseFile(fset, file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range tree.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		own, inModule := strings.CutPrefix(path, "chalkstand/")
		switch {
		case inModule && isTest:
		case inModule && layers[own] == testSupport && level != testSupport:
			t.Errorf("%s imports the test kit %s", file, own)
		case inModule && (layers[own] == 0 || layers[own] > level):
			t.Errorf("%s, on layer %d, imports %s, on layer %d", file, level, own, layers[own])
		case !isTest && level <= codecs && reachesOutside(path):
			t.Errorf("%s imports %s", file, path)
		}
	}
	if !isTest && level <= codecs {
		checkPure(t, fset, tree)
	}
}

func reachesOutside(path string) bool {
	return slices.Contains(impure, path) || strings.Contains(path, "gnet") || strings.Contains(path, "golang.org/x/sys")
}

// checkPure looks for goroutines and for the wall clock.
func checkPure(t *testing.T, fset *token.FileSet, tree *ast.File) {
	t.Helper()
	ast.Inspect(tree, func(n ast.Node) bool {
		switch x := n.(type) {
		case *ast.GoStmt:
			t.Errorf("%s: a goroutine is started", fset.Position(x.Pos()))
		case *ast.SelectorExpr:
			id, ok := x.X.(*ast.Ident)
			if ok && id.Name == "time" && slices.Contains(clockFunctions, x.Sel.Name) {
				t.Errorf("%s: time.%s", fset.Position(x.Pos()), x.Sel.Name)
			}
		}
		return true
	})
}
