package sigv4client

import (
	"testing"
	"time"
)

// A signer that has signed with one secret does not sign with it for another.
func TestSecretsAreNotMixed(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	right := URL("GET", "http://h/p/k", "ID", "right", at, "30")
	wrong := URL("GET", "http://h/p/k", "ID", "wrong", at, "30")
	if right == wrong {
		t.Error("two secrets give one signature")
	}
	if again := URL("GET", "http://h/p/k", "ID", "right", at, "30"); again != right {
		t.Error("one secret gives two signatures")
	}
}
