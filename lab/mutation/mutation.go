// Package mutation does mutation testing of the guards in the forwarder, the reader of node
// responses and the dispatcher. It changes one guard at a time in a copy of the sources and
// runs the model checker's tests on the copy. These tests must fail.
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

// Mutant is a change of a source file. It replaces the text From, which must occur exactly once
// in the file, by the text To.
type Mutant struct {
	Name     string
	File     string // path of the source file, relative to the root of the sources
	From, To string
	// EquivalentBecause says why the model checker cannot see a violation of a rule, and names
	// the other test that detects the change, if there is one. If it is "", the model checker
	// must detect the change.
	EquivalentBecause string
}

// Result is the result of testing a mutant.
type Result struct {
	Mutant
	Killed bool   // a test of the model checker failed
	Cause  string // the violation or panic in the output of the failed tests, or a note that there is neither
}

// PatternError describes a mutant whose From does not occur exactly once in its file.
type PatternError struct {
	Mutant Mutant
	Count  int // number of occurrences of From
}

func (e *PatternError) Error() string {
	return fmt.Sprintf("%s: %q occurs %d times in %s, must occur exactly once", e.Mutant.Name, e.Mutant.From, e.Count, e.Mutant.File)
}

// BuildError describes a mutant that does not compile.
type BuildError struct {
	Mutant Mutant
	Output []byte // output of the go command
}

func (e *BuildError) Error() string {
	return fmt.Sprintf("%s does not build:\n%s", e.Mutant.Name, e.Output)
}

// Check checks that each mutant can be applied to the sources in the directory root.
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

// mutate returns the text of a source file with the mutant's change applied.
func (m Mutant) mutate(source []byte) ([]byte, error) {
	if n := bytes.Count(source, []byte(m.From)); n != 1 {
		return nil, &PatternError{Mutant: m, Count: n}
	}
	return bytes.Replace(source, []byte(m.From), []byte(m.To), 1), nil
}

// These constants are the permissions of the files and directories in a copy of the sources.
const (
	filePerm = 0o644
	dirPerm  = 0o755
)

// skippedDirs names the directories that Copy leaves out, because no test needs them.
var skippedDirs = map[string]bool{".git": true, "bin": true, "journal": true, "docs": true, "found": true}

// Copy copies the sources in the directory root into the directory dir.
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

// testPattern matches the names of the model checker's tests that Test runs on a mutant.
const testPattern = "TestEveryOrdering|TestRandomWalks|TestStoredReplays$"

// violationLine matches a line of test output that contains the violation of a rule.
var violationLine = regexp.MustCompile(
	`(?m)^\s+\w+_test\.go:\d+: (.*(?:answer|attempts|drain|effects|order|budget|connection|bounds|stuck): .*)$`)

// Test applies a mutant to the copy of the sources in dir, runs the model checker's tests and
// restores the copy. It returns a *PatternError if the mutant cannot be applied, and a
// *BuildError if the mutant does not compile.
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
	if match := violationLine.FindSubmatch(out); match != nil {
		r.Cause = string(match[1])
	} else if r.Killed {
		r.Cause = firstPanic(string(out))
	}
	return r, nil
}

// apply applies a mutant to the copy of the sources in dir. It returns a function that restores
// the changed file.
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

// firstPanic returns the first line of a panic in the output of a failed test.
func firstPanic(out string) string {
	for line := range strings.Lines(out) {
		if strings.HasPrefix(line, "panic:") {
			return strings.TrimSpace(line)
		}
	}
	return "a test failed otherwise"
}
