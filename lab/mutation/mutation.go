// Package mutation puts one-line faults into the guards of the forwarder, the
// connection reader and the dispatcher, one at a time in a copy of the sources, and
// has the explorer's own tests find them.
package mutation

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
)

// Mutant is a fault: in a file, one text in the place of another that stands there
// exactly once.
type Mutant struct {
	Name     string
	File     string
	From, To string
	// Equal says why the fault breaks no rule that can be seen here, and what finds it
	// where it does elsewhere; "" where it must be found.
	Equal string
}

// Found is what became of one.
type Found struct {
	Mutant
	Caught bool
	By     string // the breach
}

// skipped are folders that a copy does not need.
var skipped = map[string]bool{".git": true, "bin": true, "journal": true, "docs": true, "found": true}

// Copy copies the sources at root, Go files and what they need, into dir.
func Copy(root, dir string) error {
	return filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			if skipped[rel] {
				return filepath.SkipDir
			}
			return os.MkdirAll(filepath.Join(dir, rel), 0o755)
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(dir, rel), b, 0o644)
	})
}

// apply puts the fault into a copy and returns how to take it out.
func (m Mutant) apply(dir string) (undo func() error, err error) {
	file := filepath.Join(dir, m.File)
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if n := strings.Count(string(b), m.From); n != 1 {
		return nil, fmt.Errorf("%s: %q stands %d times in %s, want once", m.Name, m.From, n, m.File)
	}
	if err := os.WriteFile(file, []byte(strings.Replace(string(b), m.From, m.To, 1)), 0o644); err != nil {
		return nil, err
	}
	return func() error { return os.WriteFile(file, b, 0o644) }, nil
}

// Check tells whether each fault's text stands where it says.
func Check(root string) error {
	var all []error
	for _, m := range All() {
		b, err := os.ReadFile(filepath.Join(root, m.File))
		if err == nil && strings.Count(string(b), m.From) != 1 {
			err = fmt.Errorf("%s: %q stands %d times in %s, want once", m.Name, m.From, strings.Count(string(b), m.From), m.File)
		}
		all = append(all, err)
	}
	return errors.Join(all...)
}

var breach = regexp.MustCompile(`(?m)^\s+\w+_test\.go:\d+: (.*(?:answer|attempts|drain|effects|order|budget|connection|bounds|stuck): .*)$`)

// Try puts one fault into the copy in dir, runs the explorer's tests, and takes it
// out again.
func Try(ctx context.Context, dir string, m Mutant) (Found, error) {
	undo, err := m.apply(dir)
	if err != nil {
		return Found{}, err
	}
	cmd := exec.CommandContext(ctx, "go", "test", "-count=1", "-run", "TestEveryOrdering|TestRandomWalks|TestReplays$", "./internal/modelcheck")
	cmd.Dir = dir
	out, rerr := cmd.CombinedOutput()
	if err := undo(); err != nil {
		return Found{}, err
	}
	if ctx.Err() != nil {
		return Found{}, ctx.Err()
	}
	f := Found{Mutant: m, Caught: rerr != nil}
	if strings.Contains(string(out), "[build failed]") || strings.Contains(string(out), "[setup failed]") {
		return f, fmt.Errorf("%s does not build:\n%s", m.Name, out)
	}
	if x := breach.FindSubmatch(out); x != nil {
		f.By = string(x[1])
	} else if f.Caught {
		f.By = firstPanic(string(out))
	}
	return f, nil
}

func firstPanic(out string) string {
	for l := range strings.Lines(out) {
		if strings.HasPrefix(l, "panic:") {
			return strings.TrimSpace(l)
		}
	}
	return "a test failed otherwise"
}
