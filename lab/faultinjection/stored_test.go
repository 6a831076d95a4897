package faultinjection

import (
	"os"
	"testing"
	"time"
)

// TestStoredScript parses a script that an earlier build generated from seed 11 and stored. Text must return the
// stored text, and GenerateScript must generate the same script from the seed.
func TestStoredScript(t *testing.T) {
	text, err := os.ReadFile("testdata/day.json")
	if err != nil {
		t.Fatal(err)
	}
	s, err := ParseScript(text)
	if err != nil || len(s) != len(FaultKinds) {
		t.Fatalf("faults in the stored script: got %d, want %d; error %v", len(s), len(FaultKinds), err)
	}
	if got := s.Text(); got != string(text) {
		t.Errorf("text of the parsed script differs from the stored text, got:\n%s", got)
	}
	if got := GenerateScript(11, 20*time.Second).Text(); got != string(text) {
		t.Errorf("script generated from seed 11 differs from the stored text, got:\n%s", got)
	}
}
