package http1

import (
	"bytes"
	"strings"
	"testing"
)

// decode passes text to a Chunked in pieces of size bytes. It returns the decoded body, the trailer
// lines in the form "name=value;", and whether the decoder reached the end of the body.
func decode(text []byte, size int) (body []byte, trailers string, done bool, err *Error) {
	var c Chunked
	var buf []byte
	for {
		n := min(size, len(text))
		buf = append(buf, text[:n]...)
		text = text[n:]
		for step := ChunkStart; step != More; {
			var data []byte
			var used int
			if step, data, used, err = c.Next(buf); err != nil {
				return body, trailers, false, err
			}
			body = append(body, data...)
			buf = buf[used:]
			switch step {
			case Trailer:
				trailers += string(c.Line.Name) + "=" + string(c.Line.Value) + ";"
			case Done:
				return body, trailers, true, nil
			}
		}
		if n == 0 {
			return body, trailers, false, nil
		}
	}
}

func TestChunked(t *testing.T) {
	const text = "5;chunk-signature=abc\r\nhello\r\nA\r\n, wide wor\r\n2;x=\"y\"\r\nld\r\n0\r\nX-Sum: 1\r\ny:2\r\n\r\n"
	for size := 1; size <= len(text); size++ {
		body, trailers, done, err := decode([]byte(text), size)
		if err != nil || !done || string(body) != "hello, wide world" || trailers != "X-Sum=1;y=2;" {
			t.Fatalf("pieces of %d bytes: got body %q, trailers %q, done %v, error %v", size, body, trailers, done, err)
		}
	}
}

func TestInvalidChunked(t *testing.T) {
	for name, text := range map[string]string{
		"bare LF after size":   "5\nhello\r\n0\r\n\r\n",
		"empty size":           "\r\n",
		"size not hex":         "g\r\n",
		"space before size":    " 5\r\nhello\r\n",
		"no CR after data":     "5\r\nhelloX\n",
		"no LF after data":     "5\r\nhello\r\r\n",
		"negative size":        "-1\r\n",
		"size with prefix":     "0x5\r\nhello\r\n",
		"size too large":       "ffffffffffffffff\r\n",
		"bad trailer":          "5\r\nhello\r\n0\r\nbad trailer\r\n\r\n",
		"folded trailer":       "5\r\nhello\r\n0\r\n folded: x\r\n\r\n",
		"too many size digits": strings.Repeat("1", 2000),
		"extension too large":  "5;" + strings.Repeat("x", 2000) + "\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			if body, _, done, err := decode([]byte(text), 1000); err == nil || done {
				t.Errorf("invalid chunked body %.40q was accepted and decoded to %q", text, body)
			}
		})
	}
}

func FuzzChunked(f *testing.F) {
	f.Add([]byte("5\r\nhello\r\n0\r\n\r\n"), 1)
	f.Add([]byte("3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n"), 4)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		size = min(max(size, 1), 64)
		body, trailers, done, err := decode(text, len(text)+1)
		piecesBody, piecesTrailers, piecesDone, piecesErr := decode(text, size)
		if done != piecesDone || done && (!bytes.Equal(body, piecesBody) || trailers != piecesTrailers) ||
			(err == nil) != (piecesErr == nil) {
			t.Fatalf("passed at once: body %q, done %v, error %v; passed in pieces: body %q, done %v, error %v",
				body, done, err, piecesBody, piecesDone, piecesErr)
		}
	})
}
