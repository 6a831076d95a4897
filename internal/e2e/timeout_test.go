package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chalkstand/dispatch"
	"chalkstand/internal/settings"
	kit "chalkstand/internal/testkit"
)

// shortTimeouts returns settings with short timeouts, so that slow clients time out soon.
func shortTimeouts() settings.Settings {
	s := kit.Settings(1)
	s.Limits.ClientHead = settings.Duration(150 * time.Millisecond)
	s.Limits.ClientIdle = settings.Duration(300 * time.Millisecond)
	s.Limits.ClientBody = settings.Duration(300 * time.Millisecond)
	return s
}

// sendPutHeader sends the header of a signed PUT request on a new connection, and leaves the body to the caller. The
// header announces a body of the given length and, if expectContinue is true, asks the gateway for 100 Continue.
func sendPutHeader(t *testing.T, site *kit.Site, path string, length int, expectContinue bool) (net.Conn, *bufio.Reader) {
	t.Helper()
	r := site.NewRequest(http.MethodPut, path, nil)
	var text strings.Builder
	fmt.Fprintf(&text, "PUT %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", path, site.Addr, length)
	if expectContinue {
		text.WriteString("Expect: 100-continue\r\n")
	}
	text.WriteString(headerText(t, r.Header) + "\r\n")
	c := site.Dial()
	if err := c.SetDeadline(time.Now().Add(connTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, text.String()); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// TestSlowClientsTimeOut checks that the gateway sends an error response to a client that stops in the middle of a
// request header or body, and does not store the received part of the body. The gateway must close an idle
// connection without a response.
func TestSlowClientsTimeOut(t *testing.T) {
	site := kit.Start(t, shortTimeouts(), nil)
	createBucket(t, site, "photos")
	got := exchangeRaw(t, site, "GET /photos/k HTTP/1.1\r\nHost")
	if !strings.HasPrefix(got, "HTTP/1.1 408 ") {
		t.Errorf("incomplete header: got response %q, want status 408", got)
	}
	if got := exchangeRaw(t, site, ""); got != "" {
		t.Errorf("idle connection: got response %q, want none", got)
	}
	for _, tt := range []struct {
		name   string
		length int
	}{
		{"buffered body", 1000},
		{"streamed body", 1 << 20},
	} {
		c, r := sendPutHeader(t, site, "/photos/k", tt.length, false)
		if _, err := c.Write(make([]byte, 500)); err != nil {
			t.Fatal(err)
		}
		resp := kit.ReadResponse(t, r)
		timedOut := resp.Status == http.StatusBadRequest && strings.Contains(string(resp.Body), "RequestTimeout")
		if !timedOut || !resp.Close {
			t.Errorf("%s: got %v, want status 400, RequestTimeout and a closed connection", tt.name, resp)
		}
	}
	checkStoredObjects(t, site, "photos", 0)
	waitUntilIdle(t, site)
}

// TestExpectContinue checks that the gateway sends 100 Continue to a client that asks for it, as soon as the gateway
// accepts the body. If the gateway rejects the request, it must send the final response without 100 Continue.
func TestExpectContinue(t *testing.T) {
	site := kit.Start(t, kit.Settings(1), nil)
	createBucket(t, site, "photos")
	for _, n := range []int{1000, 1 << 20} {
		c, r := sendPutHeader(t, site, "/photos/k", n, true)
		const wantText = "HTTP/1.1 100 Continue\r\n\r\n"
		got := make([]byte, len(wantText))
		if _, err := io.ReadFull(r, got); err != nil || string(got) != wantText {
			t.Fatalf("body of %d bytes: got %q and error %v, want 100 Continue", n, got, err)
		}
		if _, err := io.Copy(c, bytes.NewReader(make([]byte, n))); err != nil {
			t.Fatal(err)
		}
		checkStatus(t, fmt.Sprint(n, " bytes"), kit.ReadResponse(t, r), http.StatusOK)
	}
	// Without a ready node, the gateway rejects the request before it asks for the body.
	site.SetNodeState(site.Nodes[0], 0, dispatch.Draining)
	_, r := sendPutHeader(t, site, "/photos/k", 1<<20, true)
	resp := kit.ReadResponse(t, r)
	if resp.Status != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Fatalf("PUT without a ready node: got %v with header %v, want status 503, Retry-After and a closed connection",
			resp, resp.Header)
	}
}
