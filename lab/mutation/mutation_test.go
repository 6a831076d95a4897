package mutation

import "testing"

// Each fault stands where the list says, once: a list that has gone stale is no test.
func TestFaultsStandWhereTheyShould(t *testing.T) {
	if err := Check("../.."); err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, m := range All() {
		if m.Equal == "" {
			n++
		}
	}
	if n < 25 {
		t.Errorf("%d faults that must be found, want 25", n)
	}
}
