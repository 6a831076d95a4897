// Package mutation is mutation testing of the guards in the forwarder, the reader of node
// responses and the dispatcher: it changes one guard at a time in a copy of the sources and
// runs the model checker's tests on it, which must fail.
package mutation

import (
	"bytes"
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

// Mutant is a change of a source file: one text, which must occur exactly once, in place of
// another.
type Mutant struct {
	Name     string
	File     string // below the root of the sources
	From, To string
	// EquivalentBecause says why the change violates no rule that the model checker can see, and
	// which test finds it where one does; "" where the model checker must find it.
	EquivalentBecause string
}

// Result is the result of testing a mutant.
type Result struct {
	Mutant
	Killed bool   // a test failed
	Cause  string // the violation or panic that was found
}

// PatternError reports a mutant whose From does not occur exactly once in its file.
type PatternError struct {
	Mutant Mutant
	Count  int // of occurrences
}

func (e *PatternError) Error() string {
	return fmt.Sprintf("%s: %q occurs %d times in %s, want once", e.Mutant.Name, e.Mutant.From, e.Count, e.Mutant.File)
}

// BuildError reports a mutant that does not compile.
type BuildError struct {
	Mutant Mutant
	Output []byte // of the go command
}

func (e *BuildError) Error() string {
	return fmt.Sprintf("%s does not build:\n%s", e.Mutant.Name, e.Output)
}

// Check checks that each mutant can be applied to the sources at root.
func Check(root string) error {
	var errs []error
	for _, m := range All() {
		source, err := os.ReadFile(filepath.Join(root, m.File))
		if err == nil {
			_, err = m.mutate(source)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// mutate returns a source with the mutant's change.
func (m Mutant) mutate(source []byte) ([]byte, error) {
	if n := bytes.Count(source, []byte(m.From)); n != 1 {
		return nil, &PatternError{Mutant: m, Count: n}
	}
	return bytes.Replace(source, []byte(m.From), []byte(m.To), 1), nil
}

// Permissions of the files and directories of a copy.
const (
	filePerm = 0o644
	dirPerm  = 0o755
)

// skippedDirs are directories that a copy does not need.
var skippedDirs = map[string]bool{".git": true, "bin": true, "journal": true, "docs": true, "found": true}

// Copy copies the sources at root into dir.
func Copy(root, dir string) error {
	return filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if skippedDirs[rel] {
				return filepath.SkipDir
			}
			return os.MkdirAll(filepath.Join(dir, rel), dirPerm)
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(dir, rel), content, filePerm)
	})
}

// testPattern matches the model checker's tests that a mutant has to fail.
const testPattern = "TestEveryOrdering|TestRandomWalks|TestStoredReplays$"

// violation matches a line of test output with a violation of a rule.
var violation = regexp.MustCompile(
	`(?m)^\s+\w+_test\.go:\d+: (.*(?:answer|attempts|drain|effects|order|budget|connection|bounds|stuck): .*)$`)

// Test applies a mutant to the copy in dir, runs the model checker's tests, and restores the
// copy. Its error may be a *PatternError or a *BuildError.
func Test(ctx context.Context, dir string, m Mutant) (Result, error) {
	restore, err := m.apply(dir)
	if err != nil {
		return Result{}, err
	}
	cmd := exec.CommandContext(ctx, "go", "test", "-count=1", "-run", testPattern, "./internal/modelcheck")
	cmd.Dir = dir
	out, testErr := cmd.CombinedOutput()
	if err := restore(); err != nil {
		return Result{}, err
	}
	if ctx.Err() != nil {
		return Result{}, ctx.Err()
	}
	r := Result{Mutant: m, Killed: testErr != nil}
	if bytes.Contains(out, []byte("[build failed]")) || bytes.Contains(out, []byte("[setup failed]")) {
		return r, &BuildError{Mutant: m, Output: out}
	}
	if match := violation.FindSubmatch(out); match != nil {
		r.Cause = string(match[1])
	} else if r.Killed {
		r.Cause = firstPanic(string(out))
	}
	return r, nil
}

// apply applies a mutant to the copy in dir and returns how to restore the file.
func (m Mutant) apply(dir string) (restore func() error, err error) {
	file := filepath.Join(dir, m.File)
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	mutated, err := m.mutate(source)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(file, mutated, filePerm); err != nil {
		return nil, err
	}
	return func() error { return os.WriteFile(file, source, filePerm) }, nil
}

// firstPanic returns the first panic in the output of a failed test.
func firstPanic(out string) string {
	for line := range strings.Lines(out) {
		if strings.HasPrefix(line, "panic:") {
			return strings.TrimSpace(line)
		}
	}
	return "a test failed otherwise"
}
