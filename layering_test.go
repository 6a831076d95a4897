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

// layer is a level of the architecture that docs/architecture.md describes. A package may import
// only packages of its own layer and of lower layers.
type layer int

const (
	decisions   layer = iota + 1 // decision logic and its state, without I/O, clock or goroutines
	codecs                       // encoding and decoding of bytes, without I/O, clock or goroutines
	ioLayer                      // event loops, discovery, logs and settings
	servers                      // servers, fake servers and tools
	commands                     // main packages
	testSupport                  // packages that only test files may import
)

// layers maps the folder of every package of the module to the package's layer.
var layers = map[string]layer{
	"attribution":          decisions,
	"costmodel":            decisions,
	"dispatch":             decisions,
	"fairshare":            decisions,
	"forwarder":            decisions,
	"internal/bufferlimit": decisions,
	"internal/timerqueue":  decisions,
	"overload":             decisions,
	"placement":            decisions,

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
	"lab/callerload":             servers,
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

// ioPackages lists packages outside the module that perform I/O or call the operating system.
var ioPackages = []string{"net", "net/http", "os", "os/exec", "os/signal", "syscall", "log", "io/fs"}

// clockFunctions lists the functions of package time that read the clock, wait or start a timer.
var clockFunctions = []string{
	"Now", "Since", "Until", "Sleep", "After", "NewTimer", "NewTicker", "AfterFunc", "Tick",
}

// TestLayers checks that every package has a layer and imports only packages of its own layer and
// of lower layers. Packages of the layers decisions and codecs must not perform I/O, read the
// clock or start goroutines. Test files are exempt from these import rules.
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
			t.Errorf("layers lists %s, but this folder has no Go files", dir)
		}
	}
}

func checkImports(t *testing.T, file, dir string) {
	t.Helper()
	level, listed := layers[dir]
	if !listed {
		t.Errorf("%s: package %s has no layer, want an entry in layers", file, dir)
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
			t.Errorf("%s imports %s, which only test files may import", file, own)
		case inModule && (layers[own] == 0 || layers[own] > level):
			t.Errorf("%s on layer %d imports %s on layer %d, want the same or a lower layer (0 means not listed)",
				file, level, own, layers[own])
		case !isTest && level <= codecs && performsIO(path):
			t.Errorf("%s imports %s, want no package that performs I/O", file, path)
		}
	}
	if !isTest && level <= codecs {
		checkPure(t, fset, tree)
	}
}

// performsIO reports whether a package outside the module performs I/O or calls the operating system.
func performsIO(path string) bool {
	return slices.Contains(ioPackages, path) || strings.Contains(path, "gnet") || strings.Contains(path, "golang.org/x/sys")
}

// checkPure checks that a source file starts no goroutine and does not read the clock.
func checkPure(t *testing.T, fset *token.FileSet, tree *ast.File) {
	t.Helper()
	ast.Inspect(tree, func(n ast.Node) bool {
		switch x := n.(type) {
		case *ast.GoStmt:
			t.Errorf("%s: the go statement starts a goroutine, want none on this layer", fset.Position(x.Pos()))
		case *ast.SelectorExpr:
			id, ok := x.X.(*ast.Ident)
			if ok && id.Name == "time" && slices.Contains(clockFunctions, x.Sel.Name) {
				t.Errorf("%s: uses time.%s, want no clock on this layer", fset.Position(x.Pos()), x.Sel.Name)
			}
		}
		return true
	})
}
