package upstreamhttp

import (
	"chalkstand/internal/http1"
	"fmt"
	"strings"
	"testing"
)

// read plays the owner of a connection over which text comes in the pieces given.
// stream decides on large answers. It returns what was heard, in short.
func read(r *Reader, pieces []string, stream bool) string {
	var out strings.Builder
	var buf []byte
	var data strings.Builder
	for _, p := range pieces {
		buf = append(buf, p...)
		for {
			s := r.Next(buf)
			buf = buf[s.Used:]
			if s.Kind == NeedMore {
				break
			}
			switch s.Kind {
			case ProtocolError:
				return out.String() + "fault"
			case Headers:
				fmt.Fprintf(&out, "head %d ", r.Response.Status)
				if stream {
					r.Stream()
				} else if r.Buffer().Kind == ProtocolError {
					return out.String() + "fault"
				}
			case BodyData:
				data.Write(s.Body)
			case BufferedResponse:
				fmt.Fprintf(&out, "whole %d %q ", r.Response.Status, s.Body)
			case ResponseEnd:
				fmt.Fprintf(&out, "end %q ", data.String())
			}
		}
	}
	return out.String() + r.State().String()
}

var answers = []struct {
	name, text, method string
	stream             bool
	want               string
}{
	{"small", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "GET", true, `whole 200 "abc" complete`},
	{"empty", "HTTP/1.1 204 No Content\r\n\r\n", "GET", true, `whole 204 "" complete`},
	{"of HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n", "HEAD", true, `whole 200 "" complete`},
	{"after interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", "PUT", true, `whole 200 "x" complete`},
	{"large", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nabcdefghijkl", "GET", true, `head 200 end "abcdefghijkl" complete`},
	{"large, not for passing on", "HTTP/1.1 500 Oops\r\nContent-Length: 12\r\n\r\nabcdefghijkl", "GET", false, "head 500 fault"},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n9\r\ndefghijkl\r\n0\r\n\r\n", "GET", true, `head 200 end "abcdefghijkl" complete`},
	{"chunks collected", "HTTP/1.1 500 Oops\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", "GET", false, `head 500 whole 500 "abcde" complete`},
	{"too many chunks", "HTTP/1.1 500 Oops\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n8\r\ndefghijk\r\n0\r\n\r\n", "GET", false, "head 500 fault"},
	{"protocol changed", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n", "GET", true, "fault"},
	{"no HTTP", "SSH-2.0-OpenSSH\r\n\r\n", "GET", true, "fault"},
	{"more than its answer", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n\r\n", "GET", true, `whole 200 "x" fault`},
	{"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "GET", true, "head 200 fault"},
	{"cut", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nabc", "GET", true, "head 200 passing"},
	{"until its end", "HTTP/1.1 200 OK\r\n\r\nabc", "GET", true, "head 200 passing"},
}

// However an answer is cut into pieces, it means the same.
func TestPiecesMakeNoDifference(t *testing.T) {
	for _, a := range answers {
		n := len(a.text)
		try := func(pieces ...string) {
			r := &Reader{Limits: http1.DefaultLimits}
			r.RequestSent(a.method, 10)
			if got := read(r, pieces, a.stream); got != a.want {
				t.Errorf("%s in %q: %s, want %s", a.name, pieces, got, a.want)
			}
		}
		try(a.text)
		try(strings.Split(a.text, "")...)
		for i := 1; i < n; i++ {
			for j := i; j < n; j += 3 {
				try(a.text[:i], a.text[i:j], a.text[j:])
			}
		}
	}
}

// A connection carries one request at a time, and none after doubt.
func TestOneAtATimeAndNoneAfterDoubt(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
	r := &Reader{Limits: http1.DefaultLimits}
	if s := r.Next([]byte("x")); s.Kind != ProtocolError || r.State() != Broken || r.RequestSent("GET", 10) {
		t.Error("an answer without a request is taken")
	}
	r = &Reader{Limits: http1.DefaultLimits}
	if !r.RequestSent("GET", 10) || r.RequestSent("GET", 10) {
		t.Error("two requests on one connection")
	}
	r.Next([]byte(ok))
	if r.RequestSent("GET", 10) || !r.Reusable() {
		t.Error("a request before the answer was taken")
	}
	if r.ResponseTaken(); !r.RequestSent("GET", 10) {
		t.Error("not reused after a whole answer")
	}
	r.Next([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nx"))
	if r.ResponseTaken(); r.RequestSent("GET", 10) || r.State() != Broken {
		t.Error("reused after half an answer")
	}
	r = &Reader{Limits: http1.DefaultLimits}
	r.RequestSent("GET", 10)
	if r.Next([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx")); r.Reusable() {
		t.Error("reusable, though the node closes")
	}
	for _, a := range answers {
		r = &Reader{Limits: http1.DefaultLimits}
		r.RequestSent(a.method, 10)
		if read(r, []string{a.text}, a.stream); r.State() == Complete && !r.Reusable() {
			t.Errorf("%s: not reusable", a.name)
		}
		r = &Reader{Limits: http1.DefaultLimits}
		r.RequestSent(a.method, 10)
		b := []byte(a.text + "H")
		for s := r.Next(b); s.Kind != NeedMore && s.Kind != ProtocolError && r.State() != Complete; s = r.Next(b) {
			if b = b[s.Used:]; s.Kind == Headers && a.stream {
				r.Stream()
			} else if s.Kind == Headers {
				r.Buffer()
			}
		}
		if r.Reusable() {
			t.Errorf("%s: reusable, though more came with it", a.name)
		}
	}
	for text, whole := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\nabc": true, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nabc": false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n": false, "HTTP/1.1 200": false,
	} {
		r := &Reader{Limits: http1.DefaultLimits}
		r.RequestSent("GET", 2)
		read(r, []string{text}, true)
		if s := r.PeerClosed(); (s.Kind == ResponseEnd) != whole || r.Reusable() {
			t.Errorf("%q and then its end: %v, reusable %v", text, s.Kind, r.Reusable())
		}
	}
}

func FuzzReader(f *testing.F) {
	for _, a := range answers {
		f.Add([]byte(a.text), 7, a.stream)
	}
	f.Fuzz(func(t *testing.T, b []byte, cut int, stream bool) {
		if cut = max(cut, 0); cut > len(b) {
			cut = len(b)
		}
		one, two := &Reader{Limits: http1.DefaultLimits}, &Reader{Limits: http1.DefaultLimits}
		one.RequestSent("GET", 10)
		two.RequestSent("GET", 10)
		x, y := read(one, []string{string(b)}, stream), read(two, []string{string(b[:cut]), string(b[cut:])}, stream)
		if x != y && !strings.HasSuffix(x, "fault") && !strings.HasSuffix(y, "fault") {
			t.Fatalf("whole %s, cut at %d %s", x, cut, y)
		}
	})
}
