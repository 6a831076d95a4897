package testkit

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// RandomBytes returns n pseudorandom bytes. Two seeds with the same low 16 bits give the same bytes.
func RandomBytes(seed uint64, n int) []byte {
	b := make([]byte, n)
	source := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
	_, _ = source.Read(b) // ChaCha8.Read never returns an error
	return b
}

// CheckEqual stops the test if got and want differ. The text what describes the content in the failure message.
func CheckEqual(tb testing.TB, what string, got, want []byte) {
	tb.Helper()
	if !bytes.Equal(got, want) {
		tb.Fatalf("%s: content differs: got %d bytes, want %d bytes", what, len(got), len(want))
	}
}

// Must takes the two results of a call. The function that it returns stops the test if err is not nil, and
// returns v otherwise: Must(os.ReadFile(name))(t).
func Must[T any](v T, err error) func(testing.TB) T {
	return func(tb testing.TB) T {
		tb.Helper()
		if err != nil {
			tb.Fatal(err)
		}
		return v
	}
}
