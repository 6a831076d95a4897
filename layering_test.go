package chalkstand_test

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

// layers lists the packages that decide or translate and touch no I/O, with the
// layer of each. Imports go downward or stay on the layer.
var layers = map[string]int{
	"dispatch": 1, "forwarder": 1, "placement": 1, "costmodel": 1, "attribution": 1, "fairshare": 1,
	"internal/http1": 2, "internal/sigv4": 2, "internal/objectapi": 2, "internal/payload": 2, "internal/upstreamhttp": 2,
	"overload": 1, "internal/timerqueue": 1, "internal/simwire": 2, "internal/resp": 2, "internal/objectcommand": 2, "internal/endpoints": 2,
}

// upward are imports against the order of the layers that stand for a reason.
var upward = map[string]string{
	"costmodel internal/objectapi": "a cost model is a list of the object API's operations",
}

// worldly are the standard packages that reach the world.
var worldly = []string{"net", "net/http", "os", "os/exec", "os/signal", "syscall", "log", "io/fs"}

func TestLayers(t *testing.T) {
	for dir, layer := range layers {
		files, err := filepath.Glob(dir + "/*.go")
		if err != nil || len(files) == 0 {
			t.Errorf("%s: no files", dir)
		}
		for _, f := range files {
			if strings.HasSuffix(f, "_test.go") {
				continue
			}
			checkFile(t, f, dir, layer)
		}
	}
}

func checkFile(t *testing.T, file, dir string, layer int) {
	src, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	fset := token.NewFileSet()
	tree, err := parser.ParseFile(fset, file, src, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, im := range tree.Imports {
		p, _ := strconv.Unquote(im.Path.Value)
		own, ours := strings.CutPrefix(p, "chalkstand/")
		if slices.Contains(worldly, p) || strings.Contains(p, "gnet") || strings.Contains(p, "golang.org/x/sys") {
			t.Errorf("%s imports %s", file, p)
		}
		if f := layers[own]; ours && (f == 0 || f > layer) && upward[dir+" "+own] == "" {
			t.Errorf("%s, on layer %d, imports %s", file, layer, p)
		}
	}
	ast.Inspect(tree, func(n ast.Node) bool {
		switch x := n.(type) {
		case *ast.GoStmt:
			t.Errorf("%s: a goroutine is started", fset.Position(x.Pos()))
		case *ast.SelectorExpr:
			if id, ok := x.X.(*ast.Ident); ok && id.Name == "time" &&
				slices.Contains([]string{"Now", "Since", "Until", "Sleep", "After", "NewTimer", "NewTicker", "AfterFunc", "Tick"}, x.Sel.Name) {
				t.Errorf("%s: time.%s", fset.Position(x.Pos()), x.Sel.Name)
			}
		}
		return true
	})
}
