package mutation

import "testing"

// minMutants is the minimum number of mutants in the list that the model checker must detect.
const minMutants = 25

// TestMutantsApply checks that every mutant can be applied to the current sources. A mutant whose
// text is out of date would test nothing.
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
		t.Errorf("got %d mutants that the model checker must detect, want at least %d", n, minMutants)
	}
}
