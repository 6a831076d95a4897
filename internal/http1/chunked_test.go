package http1

import (
	"bytes"
	"strings"
	"testing"
)

// decode decodes a chunked body that comes in pieces of a size. It returns the body, the trailers
// as "name=value;", and whether it ended.
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
			t.Fatalf("pieces of %d: %q %q %v %v", size, body, trailers, done, err)
		}
	}
}

func TestBadChunked(t *testing.T) {
	for name, text := range map[string]string{
		"bare LF after size":  "5\nhello\r\n0\r\n\r\n",
		"empty size":          "\r\n",
		"size not a number":   "g\r\n",
		"space before size":   " 5\r\nhello\r\n",
		"no CR after data":    "5\r\nhelloX\n",
		"no LF after data":    "5\r\nhello\r\r\n",
		"negative size":       "-1\r\n",
		"size with prefix":    "0x5\r\nhello\r\n",
		"size too large":      "ffffffffffffffff\r\n",
		"bad trailer":         "5\r\nhello\r\n0\r\nbad trailer\r\n\r\n",
		"folded trailer":      "5\r\nhello\r\n0\r\n folded: x\r\n\r\n",
		"endless size":        strings.Repeat("1", 2000),
		"extension too large": "5;" + strings.Repeat("x", 2000) + "\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			if body, _, done, err := decode([]byte(text), 1000); err == nil || done {
				t.Errorf("%.40q is accepted: %q", text, body)
			}
		})
	}
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
