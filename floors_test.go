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

// floors lists the packages that decide or translate and touch no world, with the
// floor of each. Imports go downward or stay on the floor.
var floors = map[string]int{
	"choice": 1, "exchange": 1, "placement": 1, "tariff": 1, "accounts": 1, "share": 1,
	"internal/http1": 2, "internal/sigv4": 2, "internal/objectapi": 2, "internal/payload": 2, "internal/upstream": 2,
	"internal/wire": 2, "internal/resp": 2, "internal/objcmd": 2, "internal/targets": 2,
}

// upward are imports against the order of the floors that stand for a reason.
var upward = map[string]string{
	"tariff internal/objectapi": "a tariff is a list of the object API's operations",
}

// worldly are the standard packages that reach the world.
var worldly = []string{"net", "net/http", "os", "os/exec", "os/signal", "syscall", "log", "io/fs"}

func TestFloors(t *testing.T) {
	for dir, floor := range floors {
		files, err := filepath.Glob(dir + "/*.go")
		if err != nil || len(files) == 0 {
			t.Errorf("%s: no files", dir)
		}
		for _, f := range files {
			if strings.HasSuffix(f, "_test.go") {
				continue
			}
			checkFile(t, f, dir, floor)
		}
	}
}

func checkFile(t *testing.T, file, dir string, floor int) {
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
		if f := floors[own]; ours && (f == 0 || f > floor) && upward[dir+" "+own] == "" {
			t.Errorf("%s, on floor %d, imports %s", file, floor, p)
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
