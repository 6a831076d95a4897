package http1

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

func parse(t *testing.T, text string) (Request, int, *Error) {
	t.Helper()
	var h Head
	var r Request
	n, err := h.ParseRequest([]byte(text), DefaultLimits, &r)
	return r, n, err
}

func TestRequestHead(t *testing.T) {
	r, n, err := parse(t, "PUT /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 12\r\nX: \t y z \t\r\nEmpty:\r\nConnection: keep-alive, Close\r\nExpect: 100-Continue\r\n\r\nbody")
	if err != nil || n == 0 || string(r.Method) != "PUT" || string(r.Target) != "/a/b?c=d" || r.Length != 12 || !r.HasLength || !r.Close || !r.Expect100 {
		t.Fatalf("%+v %d %v", r, n, err)
	}
	if v := r.Headers.Get("x"); string(v) != "y z" {
		t.Fatalf("%q", v)
	}
	if v := r.Headers.Get("empty"); v == nil || len(v) != 0 {
		t.Fatalf("%q", v)
	}
}

// Parsing in pieces of any size gives what parsing at once gives.
func TestPiecesMakeNoDifference(t *testing.T) {
	text := []byte("GET /k HTTP/1.1\r\nHost: x\r\nRange: bytes=0-1\r\n\r\nGET /next")
	for size := 1; size < len(text); size++ {
		var h Head
		var r Request
		for end := size; ; end += size {
			n, err := h.ParseRequest(text[:min(end, len(text))], DefaultLimits, &r)
			if err != nil {
				t.Fatalf("pieces of %d: %v", size, err)
			}
			if n > 0 {
				if n != len(text)-9 || string(r.Headers.Get("Range")) != "bytes=0-1" {
					t.Fatalf("pieces of %d: %d %+v", size, n, r)
				}
				break
			}
		}
	}
}

func TestResponseFraming(t *testing.T) {
	for _, x := range []struct {
		text, method string
		want         Framing
		close, bad   bool
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "GET", Framing{Length: 5}, false, false},
		{"HTTP/1.1 200\r\nContent-Length: 5\r\n\r\n", "GET", Framing{Length: 5}, false, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HEAD", Framing{}, false, false},
		{"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", "GET", Framing{}, false, false},
		{"HTTP/1.1 204 No Content\r\n\r\n", "DELETE", Framing{}, false, false},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "GET", Framing{Chunked: true}, false, false},
		{"HTTP/1.1 200 OK\r\n\r\n", "GET", Framing{UntilClose: true}, true, false},
		{"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n", "GET", Framing{Length: 5}, true, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\n", "GET", Framing{Length: 5}, true, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n", "GET", Framing{}, false, true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", "GET", Framing{}, false, true},
		{"HTTP/1.1 2000 OK\r\n\r\n", "GET", Framing{}, false, true},
		{"HTTP/1.1 099 OK\r\n\r\n", "GET", Framing{}, false, true},
		{"ICY 200 OK\r\n\r\n", "GET", Framing{}, false, true},
	} {
		var h Head
		var r Response
		n, err := h.ParseResponse([]byte(x.text), DefaultLimits, x.method, &r)
		if (err != nil) != x.bad || !x.bad && (n != len(x.text) || r.Framing != x.want || r.Close != x.close) {
			t.Errorf("%q: %d %+v close %v, %v", x.text, n, r.Framing, r.Close, err)
		}
	}
}

// decode runs a chunked body through in pieces.
func decode(text []byte, size int) (body []byte, trailers string, done bool, err *Error) {
	var c Chunked
	buf := []byte{}
	for {
		n := min(size, len(text))
		buf, text = append(buf, text[:n]...), text[n:]
		for {
			s, d, used, e := c.Next(buf)
			if e != nil {
				return body, trailers, false, e
			}
			body = append(body, d...)
			if s == Trailer {
				trailers += string(c.Line.Name) + "=" + string(c.Line.Value) + ";"
			}
			buf = buf[used:]
			if s == Done {
				return body, trailers, true, nil
			}
			if s == More {
				break
			}
		}
		if n == 0 {
			return body, trailers, false, nil
		}
	}
}

func TestChunked(t *testing.T) {
	good := "5;chunk-signature=abc\r\nhello\r\nA\r\n, wide wor\r\n2;x=\"y\"\r\nld\r\n0\r\nX-Sum: 1\r\ny:2\r\n\r\n"
	for size := 1; size <= len(good); size++ {
		b, tr, done, err := decode([]byte(good), size)
		if err != nil || !done || string(b) != "hello, wide world" || tr != "X-Sum=1;y=2;" {
			t.Fatalf("pieces of %d: %q %q %v %v", size, b, tr, done, err)
		}
	}
	for _, bad := range []string{
		"5\nhello\r\n0\r\n\r\n", "\r\n", "g\r\n", " 5\r\nhello\r\n", "5\r\nhelloX\n", "5\r\nhello\r\r\n", "-1\r\n", "0x5\r\nhello\r\n",
		"ffffffffffffffff\r\n", "5\r\nhello\r\n0\r\nbad trailer\r\n\r\n", "5\r\nhello\r\n0\r\n folded: x\r\n\r\n", strings.Repeat("1", 2000),
		"5;" + strings.Repeat("x", 2000) + "\r\nhello",
	} {
		if b, _, done, err := decode([]byte(bad), 1000); err == nil || done {
			t.Errorf("%.40q is taken: %q", bad, b)
		}
	}
}

func TestWriting(t *testing.T) {
	b := AppendStatus(nil, 206)
	b = AppendHeader(b, "X", "a\r\nSmuggled: yes\x00")
	b = AppendLength(b, 42)
	if string(b) != "HTTP/1.1 206 Partial Content\r\nX: a  Smuggled: yes \r\nContent-Length: 42\r\n" {
		t.Fatalf("%q", b)
	}
	chunks := append(AppendChunk(AppendChunk(nil, []byte("hello")), nil), LastChunk...)
	if body, _, done, err := decode(chunks, 3); string(body) != "hello" || !done || err != nil {
		t.Fatalf("%q %v", body, err)
	}
}

func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), 3)
	f.Add([]byte("PUT /k HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"), 1)
	f.Add([]byte("\r\nGET / HTTP/1.0\r\n\r\n"), 7)
	f.Add([]byte("GET / HTTP/1.1\r\nA:b\n c\r\n\r\n"), 2)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		size = min(max(size, 1), 64)
		var h1, h2 Head
		var at, pieces Request
		n1, err1 := h1.ParseRequest(text, DefaultLimits, &at)
		if err1 == nil && n1 > 0 {
			if at.Chunked && at.HasLength || !bytes.HasSuffix(text[:n1], crlf2) || bytes.Count(text[:n1], []byte("\n")) != bytes.Count(text[:n1], crlf) {
				t.Fatalf("taken: %q", text[:n1])
			}
		}
		for end := size; ; end += size {
			n2, err2 := h2.ParseRequest(text[:min(end, len(text))], DefaultLimits, &pieces)
			if n2 > 0 && (n2 != n1 || fmt.Sprintf("%q", at.Headers) != fmt.Sprintf("%q", pieces.Headers)) {
				t.Fatalf("in pieces %d, at once %d", n2, n1)
			}
			if n2 > 0 || err2 != nil || end >= len(text) {
				if err1 == nil && n1 > 0 && n2 != n1 {
					t.Fatalf("at once %d, in pieces %d %v", n1, n2, err2)
				}
				return
			}
		}
	})
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"), "GET")
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n"), "HEAD")
	f.Fuzz(func(t *testing.T, text []byte, method string) {
		var h Head
		var r Response
		n, err := h.ParseResponse(text, DefaultLimits, method, &r)
		if err == nil && n > 0 && (r.Status < 100 || r.Status > 599 || r.Length < 0 || r.Chunked && r.Length > 0) {
			t.Fatalf("%+v", r)
		}
	})
}

func FuzzChunked(f *testing.F) {
	f.Add([]byte("5\r\nhello\r\n0\r\n\r\n"), 1)
	f.Add([]byte("3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n"), 4)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		size = min(max(size, 1), 64)
		b1, t1, d1, e1 := decode(text, len(text)+1)
		b2, t2, d2, e2 := decode(text, size)
		if d1 != d2 || d1 && (!bytes.Equal(b1, b2) || t1 != t2) || (e1 == nil) != (e2 == nil) {
			t.Fatalf("at once %q %v %v, in pieces %q %v %v", b1, d1, e1, b2, d2, e2)
		}
	})
}
