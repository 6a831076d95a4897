package mutation

import "slices"

// All returns all mutants.
func All() []Mutant { return slices.Concat(forwarderMutants, readerMutants, dispatchMutants) }
