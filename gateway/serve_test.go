package gateway_test

import (
	"testing"
	"time"

	"chalkstand/gateway"
	kit "chalkstand/internal/testkit"
)

// TestServeReturnsAfterClose checks that Serve returns if the gateway was closed before Serve is called.
func TestServeReturnsAfterClose(t *testing.T) {
	const returnTimeout = 5 * time.Second
	s := kit.Settings(1)
	s.EmbeddedNodes = nil
	g := kit.Must(gateway.New(s))(t)
	ln := kit.Must(gateway.Listen("127.0.0.1:0"))(t)
	if err := g.Close(); err != nil {
		t.Fatal(err)
	}
	returned := make(chan error, 1)
	go func() { returned <- g.Serve(t.Context(), ln) }()
	select {
	case err := <-returned:
		t.Logf("Serve returned %v", err)
	case <-time.After(returnTimeout):
		t.Errorf("Serve has not returned after %v", returnTimeout)
	}
}
