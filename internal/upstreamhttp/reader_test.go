package upstreamhttp

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"chalkstand/internal/http1"
)

// testBufferLimit is the length in bytes of the longest body that a Reader buffers in these tests.
const testBufferLimit = 10

// newAwaitingReader returns a Reader that awaits the response to a request with the given method.
func newAwaitingReader(method string) *Reader {
	r := &Reader{Limits: http1.DefaultLimits}
	r.RequestSent(method, testBufferLimit)
	return r
}

// readAll acts as the owner of a connection on which the given pieces of text are received one after
// the other. After a step of kind Headers it calls StreamBody if stream is set, and BufferBody
// otherwise. It returns a summary of the steps, followed by the final state or by "error".
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
				if streamOrBuffer(r, stream) == ProtocolError {
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

// streamOrBuffer calls r.StreamBody if stream is set, and r.BufferBody otherwise. It returns the kind of
// the step that the call results in.
func streamOrBuffer(r *Reader, stream bool) StepKind {
	if !stream {
		return r.BufferBody().Kind
	}
	r.StreamBody()
	return NeedMore
}

// responses holds responses of a node together with the results that readAll must return for them.
var responses = []struct {
	name, text, method string
	stream             bool
	want               string // result of readAll
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

// TestReadInPieces checks that a response leads to the same result however the network splits it.
func TestReadInPieces(t *testing.T) {
	for _, c := range responses {
		t.Run(c.name, func(t *testing.T) {
			check := func(pieces ...string) {
				t.Helper()
				if got := readAll(newAwaitingReader(c.method), pieces, c.stream); got != c.want {
					t.Errorf("reading the pieces %q: got %s, want %s", pieces, got, c.want)
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
		t.Error("a response without a request was accepted, or it left the connection usable")
	}
}

// TestOneRequestAtATime checks that a connection carries one request at a time, and no request after
// an incomplete response.
func TestOneRequestAtATime(t *testing.T) {
	r := &Reader{Limits: http1.DefaultLimits}
	if !r.RequestSent(http.MethodGet, testBufferLimit) || r.RequestSent(http.MethodGet, testBufferLimit) {
		t.Error("the first request was rejected, or a second one was accepted before the response")
	}
	r.Next([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"))
	if r.RequestSent(http.MethodGet, testBufferLimit) || !r.Reusable() {
		t.Error("a request was accepted before ResponseTaken, or the connection is not reusable")
	}
	if r.ResponseTaken(); !r.RequestSent(http.MethodGet, testBufferLimit) {
		t.Error("a request was rejected after a complete response")
	}
	r.Next([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nx"))
	if r.ResponseTaken(); r.RequestSent(http.MethodGet, testBufferLimit) || r.State() != Broken {
		t.Error("a request was accepted after an incomplete response, or the connection is not broken")
	}
}

// TestReusable checks that a connection is reusable after a complete response, unless the node
// announces that it closes the connection or sends more bytes than the response.
func TestReusable(t *testing.T) {
	r := newAwaitingReader(http.MethodGet)
	if r.Next([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx")); r.Reusable() {
		t.Error("the connection is reusable, although the response says that the node closes it")
	}
	for _, c := range responses {
		t.Run(c.name, func(t *testing.T) {
			r := newAwaitingReader(c.method)
			if readAll(r, []string{c.text}, c.stream); r.State() == Complete && !r.Reusable() {
				t.Error("the connection is not reusable after a complete response")
			}
			if reusableAfter(newAwaitingReader(c.method), []byte(c.text+"H"), c.stream) {
				t.Error("the connection is reusable, although a byte follows the response")
			}
		})
	}
}

// reusableAfter reads one response from b, which holds all bytes that are received, and reports
// whether the connection is reusable afterward.
func reusableAfter(r *Reader, b []byte, stream bool) bool {
	s := r.Next(b)
	for s.Kind != NeedMore && s.Kind != ProtocolError && r.State() != Complete {
		b = b[s.Consumed:]
		if s.Kind == Headers {
			streamOrBuffer(r, stream)
		}
		s = r.Next(b)
	}
	return r.Reusable()
}

// TestPeerClosed checks that a close by the node completes a response only if the close marks the
// end of its body, and that the connection is not reusable after a close.
func TestPeerClosed(t *testing.T) {
	for name, c := range map[string]struct {
		text     string
		complete bool
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
			if s := r.PeerClosed(); (s.Kind == ResponseEnd) != c.complete || r.Reusable() {
				t.Errorf("close after %q: got step kind %v, reusable %v", c.text, s.Kind, r.Reusable())
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
		whole := readAll(newAwaitingReader(http.MethodGet), []string{string(b)}, stream)
		pieces := readAll(newAwaitingReader(http.MethodGet), []string{string(b[:cut]), string(b[cut:])}, stream)
		if whole != pieces && !strings.HasSuffix(whole, "error") && !strings.HasSuffix(pieces, "error") {
			t.Fatalf("result of reading the bytes at once: %s; of reading them cut at byte %d: %s", whole, cut, pieces)
		}
	})
}
