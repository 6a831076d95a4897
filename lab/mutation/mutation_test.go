package mutation

import "testing"

// minMutants is the least number of mutants that the model checker has to find.
const minMutants = 25

// Every mutant can be applied to the sources as they are: a stale list tests nothing.
func TestMutantsApply(t *testing.T) {
	if err := Check("../.."); err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, m := range All() {
		if m.EquivalentBecause == "" {
			n++
		}
	}
	if n < minMutants {
		t.Errorf("%d mutants that must be found, want %d", n, minMutants)
	}
}
