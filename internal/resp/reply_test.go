package resp

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// TestReplies checks that Read asks for more bytes for every incomplete part of a reply, and that it
// parses the complete reply without the bytes that follow it.
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
					t.Fatalf("reply %q, cut after %d bytes: got length %d, error %v, want 0 and no error", c.text, i, n, err)
				}
			}
			n, err := r.Read([]byte(c.text + "more"))
			if n != len(c.text) || err != nil || r.Kind != c.kind || len(r.Items) != c.items {
				t.Errorf("reply %q: got length %d, error %v, reply %+v", c.text, n, err, r)
			}
		})
	}
}

func TestInvalidReplies(t *testing.T) {
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
			if protocolErr := (*Error)(nil); !errors.As(err, &protocolErr) {
				t.Errorf("invalid reply %.40q: got error %v, want an *Error", text, err)
			}
		})
	}
}

// TestAppendLineIsOneLine checks that AppendLine encodes a text with line breaks, which is also too
// long, as one valid line.
func TestAppendLineIsOneLine(t *testing.T) {
	b := AppendLine(nil, ErrorReply, "ERR a\r\n+OK\r\n"+strings.Repeat("x", 2*MaxLine))
	var r Reply
	if n, err := r.Read(b); n != len(b) || err != nil || r.Kind != ErrorReply {
		t.Errorf("reading an appended line: got length %d, want %d; error %v", n, len(b), err)
	}
}

// FuzzRead checks that Command and Read never report a length beyond their input. It also checks
// that Command parses a command to as many words with and without the bytes that follow it, and
// again after the words have been encoded.
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
				t.Fatalf("length of a command: got %d with the bytes after it, %d without; input of %d bytes, error %v",
					n, m, len(b), err)
			}
			out := encodeCommand(words)
			if back, _, err := Command(out, nil); err != nil || len(back) != len(words) || !bytes.Equal(back[0], words[0]) {
				t.Fatalf("the command encoded as %q does not parse to the same words: error %v", out, err)
			}
		}
		var r Reply
		if n, err := r.Read(b); n > len(b) || n > 0 && err != nil || len(r.Items) > MaxItems {
			t.Fatalf("a limit of a reply does not hold: got length %d of %d bytes, error %v", n, len(b), err)
		}
	})
}
