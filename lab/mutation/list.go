package mutation

import "slices"

// All returns the mutants of the forwarder, the response reader and the dispatcher.
func All() []Mutant { return slices.Concat(forwarderMutants, readerMutants, dispatchMutants) }
