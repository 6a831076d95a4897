package resp

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// Replies are read as a whole, and no incomplete reply is an error.
func TestReplies(t *testing.T) {
	var r Reply
	for name, c := range map[string]struct {
		text  string
		kind  Kind
		items int
	}{
		"simple string": {"+OK\r\n", SimpleString, 0},
		"error":         {"-BUSY 50\r\n", ErrorReply, 0},
		"integer":       {":7\r\n", Integer, 0},
		"bulk string":   {"$3\r\nabc\r\n", BulkString, 0},
		"null bulk":     {"$-1\r\n", BulkString, 0},
		"array":         {"*3\r\n$1\r\nv\r\n$-1\r\n$0\r\n\r\n", Array, 3},
		"null array":    {"*-1\r\n", Array, 0},
		"empty array":   {"*0\r\n", Array, 0},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range c.text {
				if n, err := r.Read([]byte(c.text[:i])); n != 0 || err != nil {
					t.Fatalf("%q, %d bytes: %d, %v", c.text, i, n, err)
				}
			}
			n, err := r.Read([]byte(c.text + "more"))
			if n != len(c.text) || err != nil || r.Kind != c.kind || len(r.Items) != c.items {
				t.Errorf("%q: %d, %v, %+v", c.text, n, err, r)
			}
		})
	}
}

func TestBadReplies(t *testing.T) {
	var r Reply
	for name, text := range map[string]string{
		"no kind":           "noise",
		"bulk too long":     "$3000000000\r\n",
		"negative length":   "$-2\r\n",
		"too many items":    "*9\r\n",
		"nested array":      "*1\r\n*1\r\n",
		"bare LF":           "+a\nb",
		"bare CR":           "+a\rb",
		"line too long":     "+" + strings.Repeat("x", MaxLine+1),
		"bulk without CRLF": "$1\r\nab\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := r.Read([]byte(text))
			if protocol := (*Error)(nil); !errors.As(err, &protocol) {
				t.Errorf("%.40q: %v, want an *Error", text, err)
			}
		})
	}
}

// A text cannot end its line early.
func TestAppendLineIsOneLine(t *testing.T) {
	b := AppendLine(nil, ErrorReply, "ERR a\r\n+OK\r\n"+strings.Repeat("x", 2*MaxLine))
	var r Reply
	if n, err := r.Read(b); n != len(b) || err != nil || r.Kind != ErrorReply {
		t.Errorf("%d of %d, %v", n, len(b), err)
	}
}

// Nothing is read beyond the input, and what is read whole is read the same from its own bytes
// alone.
func FuzzRead(f *testing.F) {
	for _, s := range []string{
		"*1\r\n$4\r\nPING\r\n",
		"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n",
		"-ERR failed\r\n",
		"$-1\r\n",
		"*2\r\n$65536\r\n",
		"\x00",
		"+\r\n",
		"*-1\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if words, n, err := Command(b, nil); n > 0 {
			again, m, _ := Command(b[:n], nil)
			if err != nil || n > len(b) || m != n || len(again) != len(words) || len(words) == 0 {
				t.Fatalf("%d and %d of %d bytes, %v", n, m, len(b), err)
			}
			out := appendCommand(words)
			if back, _, err := Command(out, nil); err != nil || len(back) != len(words) || !bytes.Equal(back[0], words[0]) {
				t.Fatalf("written %q: %v", out, err)
			}
		}
		var r Reply
		if n, err := r.Read(b); n > len(b) || n > 0 && err != nil || len(r.Items) > MaxItems {
			t.Fatalf("%d of %d bytes, %v", n, len(b), err)
		}
	})
}
