package faultinjection

import (
	"os"
	"testing"
	"time"
)

// A script that an earlier build wrote is read whole, written the same, and made again by its
// seed.
func TestStoredScript(t *testing.T) {
	text, err := os.ReadFile("testdata/day.json")
	if err != nil {
		t.Fatal(err)
	}
	s, err := ParseScript(text)
	if err != nil || len(s) != len(FaultKinds) {
		t.Fatalf("%d faults, want %d: %v", len(s), len(FaultKinds), err)
	}
	if have := s.Text(); have != string(text) {
		t.Errorf("written again:\n%s", have)
	}
	if have := GenerateScript(11, 20*time.Second).Text(); have != string(text) {
		t.Errorf("generated again:\n%s", have)
	}
}
