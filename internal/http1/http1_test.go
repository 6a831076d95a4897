package http1

import (
	"bytes"
	"fmt"
	"testing"
)

func TestParseRequest(t *testing.T) {
	const text = "PUT /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 12\r\nX: \t y z \t\r\nEmpty:\r\n" +
		"Connection: keep-alive, Close\r\nExpect: 100-Continue\r\n\r\n"
	var h HeadParser
	var r Request
	n, err := h.ParseRequest([]byte(text+"body"), DefaultLimits, &r)
	if err != nil || n != len(text) {
		t.Fatalf("ParseRequest: got length %d, want %d; error %v", n, len(text), err)
	}
	if string(r.Method) != "PUT" || string(r.Target) != "/a/b?c=d" || r.Length != 12 || !r.HasLength ||
		!r.Close || !r.Expect100 {
		t.Fatalf("ParseRequest: got request %+v, want PUT /a/b?c=d with length 12, Close and Expect100", r)
	}
	if v := r.Headers.Get("x"); string(v) != "y z" {
		t.Fatalf("value of header X: got %q, want \"y z\" without the surrounding blanks", v)
	}
	if v := r.Headers.Get("empty"); v == nil || len(v) != 0 {
		t.Fatalf("value of header Empty: got %q, want an empty value that is not nil", v)
	}
}

// TestParseRequestInPieces checks that a request parses to the same result however the network
// splits it.
func TestParseRequestInPieces(t *testing.T) {
	text := []byte("GET /k HTTP/1.1\r\nHost: x\r\nRange: bytes=0-1\r\n\r\nGET /next")
	for size := 1; size < len(text); size++ {
		var r Request
		n, err := parseInPieces(text, size, &r)
		if err != nil || n != len(text)-len("GET /next") || string(r.Headers.Get("Range")) != "bytes=0-1" {
			t.Fatalf("pieces of %d bytes: got length %d, request %+v, error %v", size, n, r, err)
		}
	}
}

func TestResponseFraming(t *testing.T) {
	for name, c := range map[string]struct {
		text, method string
		want         Framing
		close        bool
	}{
		"length":       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "GET", Framing{Length: 5}, false},
		"no reason":    {"HTTP/1.1 200\r\nContent-Length: 5\r\n\r\n", "GET", Framing{Length: 5}, false},
		"to HEAD":      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HEAD", Framing{}, false},
		"not modified": {"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", "GET", Framing{}, false},
		"no content":   {"HTTP/1.1 204 No Content\r\n\r\n", "DELETE", Framing{}, false},
		"chunked":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "GET", Framing{Chunked: true}, false},
		"until close":  {"HTTP/1.1 200 OK\r\n\r\n", "GET", Framing{UntilClose: true}, true},
		"HTTP/1.0":     {"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n", "GET", Framing{Length: 5}, true},
		"explicit close": {
			"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\n",
			"GET",
			Framing{Length: 5},
			true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var h HeadParser
			var r Response
			n, err := h.ParseResponse([]byte(c.text), DefaultLimits, c.method, &r)
			if err != nil || n != len(c.text) || r.Framing != c.want || r.Close != c.close {
				t.Errorf("%q: got length %d, framing %+v, close %v, error %v", c.text, n, r.Framing, r.Close, err)
			}
		})
	}
}

func TestInvalidResponses(t *testing.T) {
	for name, text := range map[string]string{
		"two lengths":        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
		"length and chunked": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
		"long status":        "HTTP/1.1 2000 OK\r\n\r\n",
		"status below 100":   "HTTP/1.1 099 OK\r\n\r\n",
		"no HTTP":            "ICY 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var h HeadParser
			var r Response
			if _, err := h.ParseResponse([]byte(text), DefaultLimits, "GET", &r); err == nil {
				t.Errorf("invalid response head %q was accepted and parsed to %+v", text, r)
			}
		})
	}
}

func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), 3)
	f.Add([]byte("PUT /k HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"), 1)
	f.Add([]byte("\r\nGET / HTTP/1.0\r\n\r\n"), 7)
	f.Add([]byte("GET / HTTP/1.1\r\nA:b\n c\r\n\r\n"), 2)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		size = min(max(size, 1), 64)
		var h HeadParser
		var whole Request
		n, err := h.ParseRequest(text, DefaultLimits, &whole)
		accepted := err == nil && n > 0
		if accepted {
			checkAccepted(t, text[:n], &whole)
		}
		var pieces Request
		inPieces, piecesErr := parseInPieces(text, size, &pieces)
		if inPieces > 0 && (inPieces != n || fmt.Sprintf("%q", whole.Headers) != fmt.Sprintf("%q", pieces.Headers)) {
			t.Fatalf("the head parsed in pieces differs: got length %d, want length %d and the same headers", inPieces, n)
		}
		if accepted && inPieces != n {
			t.Fatalf("length of an accepted head: %d at once, %d in pieces with error %v", n, inPieces, piecesErr)
		}
	})
}

// checkAccepted fails the test if an accepted head has two body lengths, a bare LF, or no empty
// line at its end.
func checkAccepted(t *testing.T, head []byte, r *Request) {
	t.Helper()
	if r.Chunked && r.HasLength || !bytes.HasSuffix(head, doubleCRLF) ||
		bytes.Count(head, []byte("\n")) != bytes.Count(head, crlf) {
		t.Fatalf("an ambiguous request head was accepted: %q", head)
	}
}

// parseInPieces calls ParseRequest repeatedly, each time with size more bytes of text, until the
// head is complete, an error occurs, or text ends.
func parseInPieces(text []byte, size int, r *Request) (int, *Error) {
	var h HeadParser
	for end := size; ; end += size {
		n, err := h.ParseRequest(text[:min(end, len(text))], DefaultLimits, r)
		if n > 0 || err != nil || end >= len(text) {
			return n, err
		}
	}
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"), "GET")
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n"), "HEAD")
	f.Fuzz(func(t *testing.T, text []byte, method string) {
		var h HeadParser
		var r Response
		n, err := h.ParseResponse(text, DefaultLimits, method, &r)
		if err == nil && n > 0 && (r.Status < 100 || r.Status > 599 || r.Length < 0 || r.Chunked && r.Length > 0) {
			t.Fatalf("an accepted response head has an invalid status or length: %+v", r)
		}
	})
}
