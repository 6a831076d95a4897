package testkit

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// RandomBytes returns n pseudorandom bytes that depend on the seed's low 16 bits alone.
func RandomBytes(seed uint64, n int) []byte {
	b := make([]byte, n)
	source := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
	_, _ = source.Read(b) // never fails
	return b
}

// CheckEqual fails the test when two contents differ.
func CheckEqual(tb testing.TB, what string, got, want []byte) {
	tb.Helper()
	if !bytes.Equal(got, want) {
		tb.Fatalf("%s: %d bytes, not the %d bytes wanted", what, len(got), len(want))
	}
}

// Must returns a function that returns v, and fails the test when err is not nil.
func Must[T any](v T, err error) func(testing.TB) T {
	return func(tb testing.TB) T {
		tb.Helper()
		if err != nil {
			tb.Fatal(err)
		}
		return v
	}
}
