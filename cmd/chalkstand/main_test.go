package main

import (
	"bytes"
	"testing"
)

// runCommandLine runs a chalkstand command and returns its output.
func runCommandLine(args ...string) (string, error) {
	c := root()
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs(args)
	err := c.Execute()
	return out.String(), err
}

func TestCommandsPrintOutput(t *testing.T) {
	for _, args := range [][]string{
		{"--help"},
		{"serve", "--help"},
		{"node", "--help"},
		{"badday", "--help"},
		{"fault-injection", "--help"},
		{"attribution-test", "--help"},
		{"modelcheck", "--help"},
		{"modelcheck", "mutation", "--help"},
		{"bench", "--help"},
		{"replay", "--help"},
		{"check-config", "--help"},
		{"version"},
		{"check-config", "../../configs/quickstart.jsonc"},
		{"badday", "--print-script"},
		{"fault-injection", "--print-script"},
	} {
		out, err := runCommandLine(args...)
		if err != nil || len(out) < 20 {
			t.Errorf("command %v: got error %v, want none and at least 20 bytes of output; output:\n%s", args, err, out)
		}
	}
}

func TestInvalidCommandLinesAreRejected(t *testing.T) {
	for _, args := range [][]string{
		{"serve"},
		{"serve", "--config", "none"},
		{"check-config", "../../README.md"},
		{"replay", "../../README.md"},
		{"frobnicate"},
	} {
		if _, err := runCommandLine(args...); err == nil {
			t.Errorf("invalid command line %v: got no error", args)
		}
	}
}

// TestEarlierCommandNames checks that the earlier name of each renamed command still selects
// the command.
func TestEarlierCommandNames(t *testing.T) {
	for _, test := range []struct {
		name    string
		args    []string
		current string
	}{
		{"fake nodes", []string{"standins"}, "chalkstand fake-nodes"},
		{"fault injection", []string{"badday"}, "chalkstand fault-injection"},
		{"attribution test", []string{"drill"}, "chalkstand attribution-test"},
		{"model checker", []string{"explore"}, "chalkstand modelcheck"},
		{"replay of the model checker", []string{"explore", "play"}, "chalkstand modelcheck play"},
		{"random walks", []string{"explore", "walk"}, "chalkstand modelcheck walk"},
		{"mutation tests", []string{"explore", "mutants"}, "chalkstand modelcheck mutation"},
		{"mutation tests, new parent", []string{"modelcheck", "mutants"}, "chalkstand modelcheck mutation"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, rest, err := root().Find(test.args)
			if err != nil || len(rest) > 0 || c.CommandPath() != test.current {
				t.Errorf("command line %v: got command %v, remaining arguments %v, error %v", test.args, c.CommandPath(), rest, err)
			}
		})
	}
}
