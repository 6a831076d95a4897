package upstreamhttp

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"chalkstand/internal/http1"
)

// testBufferLimit is up to how many bytes of a body are buffered in these tests.
const testBufferLimit = 10

// sentReader returns a reader whose connection has sent a request.
func sentReader(method string) *Reader {
	r := &Reader{Limits: http1.DefaultLimits}
	r.RequestSent(method, testBufferLimit)
	return r
}

// readAll acts as the owner of a connection that receives text in the given pieces. Responses whose
// headers are to be decided on are streamed or buffered. It returns a summary of the steps and the
// state at the end.
func readAll(r *Reader, pieces []string, stream bool) string {
	var out, data strings.Builder
	var buf []byte
	for _, p := range pieces {
		buf = append(buf, p...)
		for {
			s := r.Next(buf)
			buf = buf[s.Consumed:]
			if s.Kind == NeedMore {
				break
			}
			switch s.Kind {
			case ProtocolError:
				return out.String() + "error"
			case Headers:
				fmt.Fprintf(&out, "headers %d ", r.Response.Status)
				if decide(r, stream) == ProtocolError {
					return out.String() + "error"
				}
			case BodyData:
				data.Write(s.Body)
			case BufferedResponse:
				fmt.Fprintf(&out, "buffered %d %q ", r.Response.Status, s.Body)
			case ResponseEnd:
				fmt.Fprintf(&out, "end %q ", data.String())
			}
		}
	}
	return out.String() + r.State().String()
}

// decide has the response whose headers were received streamed or buffered.
func decide(r *Reader, stream bool) StepKind {
	if !stream {
		return r.Buffer().Kind
	}
	r.Stream()
	return NeedMore
}

var responses = []struct {
	name, text, method string
	stream             bool
	want               string // of readAll
}{
	{
		"small", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		http.MethodGet, true, `buffered 200 "abc" complete`,
	},
	{
		"empty", "HTTP/1.1 204 No Content\r\n\r\n",
		http.MethodGet, true, `buffered 204 "" complete`,
	},
	{
		"to HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n",
		http.MethodHead, true, `buffered 200 "" complete`,
	},
	{
		"after interim responses",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
		http.MethodPut, true, `buffered 200 "x" complete`,
	},
	{
		"large", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nabcdefghijkl",
		http.MethodGet, true, `headers 200 end "abcdefghijkl" complete`,
	},
	{
		"large, to be buffered", "HTTP/1.1 500 Oops\r\nContent-Length: 12\r\n\r\nabcdefghijkl",
		http.MethodGet, false, "headers 500 error",
	},
	{
		"chunked",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n9\r\ndefghijkl\r\n0\r\n\r\n",
		http.MethodGet, true, `headers 200 end "abcdefghijkl" complete`,
	},
	{
		"chunked, to be buffered",
		"HTTP/1.1 500 Oops\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
		http.MethodGet, false, `headers 500 buffered 500 "abcde" complete`,
	},
	{
		"chunked and large, to be buffered",
		"HTTP/1.1 500 Oops\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n8\r\ndefghijk\r\n0\r\n\r\n",
		http.MethodGet, false, "headers 500 error",
	},
	{
		"protocol changed", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n",
		http.MethodGet, true, "error",
	},
	{
		"no HTTP", "SSH-2.0-OpenSSH\r\n\r\n",
		http.MethodGet, true, "error",
	},
	{
		"bytes after the response", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n\r\n",
		http.MethodGet, true, `buffered 200 "x" error`,
	},
	{
		"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		http.MethodGet, true, "headers 200 error",
	},
	{
		"partial", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nabc",
		http.MethodGet, true, "headers 200 streaming",
	},
	{
		"until close", "HTTP/1.1 200 OK\r\n\r\nabc",
		http.MethodGet, true, "headers 200 streaming",
	},
}

// The pieces in which a response comes make no difference.
func TestPiecesMakeNoDifference(t *testing.T) {
	for _, c := range responses {
		t.Run(c.name, func(t *testing.T) {
			check := func(pieces ...string) {
				t.Helper()
				if got := readAll(sentReader(c.method), pieces, c.stream); got != c.want {
					t.Errorf("in %q: %s, want %s", pieces, got, c.want)
				}
			}
			check(c.text)
			check(strings.Split(c.text, "")...)
			n := len(c.text)
			for i := 1; i < n; i++ {
				for j := i; j < n; j += 3 {
					check(c.text[:i], c.text[i:j], c.text[j:])
				}
			}
		})
	}
}

func TestResponseWithoutRequest(t *testing.T) {
	r := &Reader{Limits: http1.DefaultLimits}
	s := r.Next([]byte("x"))
	if s.Kind != ProtocolError || r.State() != Broken || r.RequestSent(http.MethodGet, testBufferLimit) {
		t.Error("a response without a request is accepted")
	}
}

// A connection carries one request at a time, and none after a partial response.
func TestOneRequestAtATime(t *testing.T) {
	r := &Reader{Limits: http1.DefaultLimits}
	if !r.RequestSent(http.MethodGet, testBufferLimit) || r.RequestSent(http.MethodGet, testBufferLimit) {
		t.Error("two requests on one connection")
	}
	r.Next([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"))
	if r.RequestSent(http.MethodGet, testBufferLimit) || !r.Reusable() {
		t.Error("a request before the response was taken")
	}
	if r.ResponseTaken(); !r.RequestSent(http.MethodGet, testBufferLimit) {
		t.Error("not reused after a whole response")
	}
	r.Next([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nx"))
	if r.ResponseTaken(); r.RequestSent(http.MethodGet, testBufferLimit) || r.State() != Broken {
		t.Error("reused after a partial response")
	}
}

// A connection is reusable after a complete response, unless the node closes it or more bytes came.
func TestReusable(t *testing.T) {
	r := sentReader(http.MethodGet)
	if r.Next([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx")); r.Reusable() {
		t.Error("reusable, though the node closes")
	}
	for _, c := range responses {
		t.Run(c.name, func(t *testing.T) {
			r := sentReader(c.method)
			if readAll(r, []string{c.text}, c.stream); r.State() == Complete && !r.Reusable() {
				t.Error("not reusable")
			}
			if reusableAfter(sentReader(c.method), []byte(c.text+"H"), c.stream) {
				t.Error("reusable, though more came with it")
			}
		})
	}
}

// reusableAfter reads one response that comes in one piece, and reports whether the connection is
// reusable then.
func reusableAfter(r *Reader, b []byte, stream bool) bool {
	s := r.Next(b)
	for s.Kind != NeedMore && s.Kind != ProtocolError && r.State() != Complete {
		b = b[s.Consumed:]
		if s.Kind == Headers {
			decide(r, stream)
		}
		s = r.Next(b)
	}
	return r.Reusable()
}

// A close by the node ends a response only where that is its framing, and never leaves the
// connection reusable.
func TestPeerClosed(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		whole bool
	}{
		"until close":    {"HTTP/1.1 200 OK\r\n\r\nabc", true},
		"partial body":   {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nabc", false},
		"partial chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false},
		"partial head":   {"HTTP/1.1 200", false},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Reader{Limits: http1.DefaultLimits}
			r.RequestSent(http.MethodGet, 2)
			readAll(r, []string{c.text}, true)
			if s := r.PeerClosed(); (s.Kind == ResponseEnd) != c.whole || r.Reusable() {
				t.Errorf("%q: kind %v, reusable %v", c.text, s.Kind, r.Reusable())
			}
		})
	}
}

func FuzzReader(f *testing.F) {
	for _, c := range responses {
		f.Add([]byte(c.text), 7, c.stream)
	}
	f.Fuzz(func(t *testing.T, b []byte, cut int, stream bool) {
		cut = min(max(cut, 0), len(b))
		whole := readAll(sentReader(http.MethodGet), []string{string(b)}, stream)
		pieces := readAll(sentReader(http.MethodGet), []string{string(b[:cut]), string(b[cut:])}, stream)
		if whole != pieces && !strings.HasSuffix(whole, "error") && !strings.HasSuffix(pieces, "error") {
			t.Fatalf("whole %s, cut at %d %s", whole, cut, pieces)
		}
	})
}
