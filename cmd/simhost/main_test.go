package main

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// begin contains lines that start an instance with one class, one plan and one node.
const begin = "BEGIN 51 peers_total=2 me=0 classes.count=1 classes.0.slo_ms=300 classes.0.deadline_ms=1500 " +
	"classes.0.effect=idempotent policies.count=1 policies.0.weight=1 limits.max_retry_after_ms=500 round_ms=2\n" +
	"PAGE 0 1\nITEM 10.0.0.7:8003 0 0 0 SERVING 1 -\nFLEET 1 Persisted 0\n"

// build compiles the command and returns the path of the executable.
func build(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "simhost")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

func TestTranscripts(t *testing.T) {
	bin := build(t)
	for _, c := range []struct {
		name, in, out, stderr string
	}{
		{"an empty batch", "BEGIN_BATCH 1\nGO\n", "READY\n", ""},
		{
			"a request is sent and completes",
			"BEGIN_BATCH 1000\nFOR d_1\n" + begin + "ASK 7 1 0 0 2 0 k 1500 c:v 0\nGO\n" +
				"BEGIN_BATCH 1020\nFOR d_1\nATTEMPT_END 7 1 10.0.0.7:8003 0 delivered 0 0 20 -\nABANDONED 7\nGO\n",
			"BY d_1\nDEFER 4000 wake\nFORWARD 7 10.0.0.7:8003 0\nREADY\nREADY\n", "",
		},
		{
			"no node holds the shard",
			"BEGIN_BATCH 1000\nFOR d_1\n" + begin + "ASK 7 1 0 0 2 0 k 1500 c:v 4\nGO\n",
			"BY d_1\nDEFER 4000 wake\nTURN_AWAY 7 200\nREADY\n", "",
		},
		{
			"an instance crashes and restarts in one batch",
			"BEGIN_BATCH 1000\nFOR d_1\n" + begin + "ASK 7 1 0 0 2 0 k 1500 c:v 0\nGO\n" +
				"BEGIN_BATCH 1010\nFOR d_1\nCRASH_NOW\n" + begin + "GO\n",
			"BY d_1\nDEFER 4000 wake\nFORWARD 7 10.0.0.7:8003 0\nREADY\nBY d_1\nDEFER 4010 wake\nREADY\n", "",
		},
		{
			"an instance that is not running", "BEGIN_BATCH 1\nFOR d_9\nABANDONED 7\nGO\n",
			"BY d_9\nFATAL line 3: event for d_9, which is not running\nREADY\n", "line 3",
		},
		{
			"an instance is started twice", "BEGIN_BATCH 1\nFOR d_1\n" + begin + begin + "GO\n",
			"BY d_1\nFATAL line 7: BEGIN for d_1, which is running\nREADY\n", "line 7",
		},
		{
			"an unknown class", "BEGIN_BATCH 1\nFOR d_1\n" + begin + "ASK 7 1 0 0 2 3 k 1500 c:v 0\nGO\n",
			"BY d_1\nFATAL line 7: ASK: tier_class 3: expected 0 to 0\nREADY\n", "tier_class",
		},
		{
			"an unknown plan", "BEGIN_BATCH 1\nFOR d_1\n" + begin + "ASK 7 1 5 0 2 0 k 1500 c:v 0\nGO\n",
			"BY d_1\nFATAL line 7: ASK: plan 5: expected 0 to 0\nREADY\n", "plan",
		},
		{
			"invalid settings", "BEGIN_BATCH 1\nFOR d_1\nBEGIN 1 peers_total=0\nGO\n",
			"BY d_1\nFATAL line 3: BEGIN: dispatch: DispatcherCount: expected at least 1, got 0\nREADY\n", "DispatcherCount",
		},
		{"an invalid line before any instance is named", "noise\n", "", "expected BEGIN_BATCH"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out, stderr bytes.Buffer
			cmd := exec.CommandContext(t.Context(), bin)
			cmd.Stdin = strings.NewReader(c.in)
			cmd.Stdout = &out
			cmd.Stderr = &stderr
			err := cmd.Run()
			if (err != nil) != (c.stderr != "") || !strings.Contains(stderr.String(), c.stderr) {
				t.Errorf("simhost: got exit error %v and stderr %q, want stderr with %q", err, stderr.String(), c.stderr)
			}
			if out.String() != c.out {
				t.Errorf("stdout: got\n%swant\n%s", out.String(), c.out)
			}
		})
	}
}

// TestInstancesShareNothing checks that two instances in one process return the same actions
// as an instance that runs alone.
func TestInstancesShareNothing(t *testing.T) {
	ask := "ASK 7 1 0 0 2 0 k 1500 c:v 0\n"
	alone, both := &bytes.Buffer{}, &bytes.Buffer{}
	if err := run(strings.NewReader("BEGIN_BATCH 5\nFOR d_1\n"+begin+ask+"GO\n"), alone); err != nil {
		t.Fatal(err)
	}
	if err := run(strings.NewReader("BEGIN_BATCH 5\nFOR d_1\n"+begin+ask+"FOR d_2\n"+begin+ask+"GO\n"), both); err != nil {
		t.Fatal(err)
	}
	actions := strings.TrimSuffix(alone.String(), "READY\n")
	if want := actions + strings.ReplaceAll(actions, "d_1", "d_2") + "READY\n"; both.String() != want {
		t.Errorf("two instances: got\n%swant\n%s", both, want)
	}
}
