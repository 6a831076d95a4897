package sigv4client

import (
	"testing"
	"time"
)

// TestSecretsAreNotMixed signs the same URL with two secrets for one key ID. The signatures must differ, although a
// signer of the SDK caches derived keys by key ID alone.
func TestSecretsAreNotMixed(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	right := URL("GET", "http://h/p/k", "ID", "right", at, "30")
	wrong := URL("GET", "http://h/p/k", "ID", "wrong", at, "30")
	if right == wrong {
		t.Error("URLs signed with two secrets: got the same signature, want different ones")
	}
	if again := URL("GET", "http://h/p/k", "ID", "right", at, "30"); again != right {
		t.Error("URLs signed twice with one secret: got different signatures, want the same")
	}
}
