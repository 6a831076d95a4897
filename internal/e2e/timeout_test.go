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

// shortTimeouts are settings under which slow clients time out soon.
func shortTimeouts() settings.Settings {
	s := kit.Settings(1)
	s.Limits.ClientHead = settings.Duration(150 * time.Millisecond)
	s.Limits.ClientIdle = settings.Duration(300 * time.Millisecond)
	s.Limits.ClientBody = settings.Duration(300 * time.Millisecond)
	return s
}

// sendPutHeader sends the header of a signed PUT with a body of the given length, and returns the connection.
func sendPutHeader(t *testing.T, site *kit.Site, path string, length int, expect bool) (net.Conn, *bufio.Reader) {
	t.Helper()
	r := site.NewRequest(http.MethodPut, path, nil)
	var text strings.Builder
	fmt.Fprintf(&text, "PUT %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", path, site.Addr, length)
	if expect {
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

// A client that stops in a request's header or body gets a response, and an idle connection is closed without
// one. What was received of the body is not stored.
func TestSlowClientsTimeOut(t *testing.T) {
	site := kit.Start(t, shortTimeouts(), nil)
	createBucket(t, site, "photos")
	got := exchangeRaw(t, site, "GET /photos/k HTTP/1.1\r\nHost")
	if !strings.HasPrefix(got, "HTTP/1.1 408 ") {
		t.Errorf("incomplete header: %q", got)
	}
	if got := exchangeRaw(t, site, ""); got != "" {
		t.Errorf("idle connection: %q", got)
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
			t.Errorf("%s: %v", tt.name, resp)
		}
	}
	checkStoredObjects(t, site, "photos", 0)
	waitUntilIdle(t, site)
}

// A client that waits for 100 Continue gets it once the gateway wants its body, and the response without it
// when the gateway does not.
func TestExpectContinue(t *testing.T) {
	site := kit.Start(t, kit.Settings(1), nil)
	createBucket(t, site, "photos")
	for _, n := range []int{1000, 1 << 20} {
		c, r := sendPutHeader(t, site, "/photos/k", n, true)
		const wantText = "HTTP/1.1 100 Continue\r\n\r\n"
		got := make([]byte, len(wantText))
		if _, err := io.ReadFull(r, got); err != nil || string(got) != wantText {
			t.Fatalf("%d bytes: %q, %v", n, got, err)
		}
		if _, err := io.Copy(c, bytes.NewReader(make([]byte, n))); err != nil {
			t.Fatal(err)
		}
		checkStatus(t, fmt.Sprint(n, " bytes"), kit.ReadResponse(t, r), http.StatusOK)
	}
	// Without a ready node the request is rejected before its body is asked for.
	site.SetNodeState(site.Nodes[0], 0, dispatch.Draining)
	_, r := sendPutHeader(t, site, "/photos/k", 1<<20, true)
	resp := kit.ReadResponse(t, r)
	if resp.Status != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Fatalf("%v %v", resp, resp.Header)
	}
}
