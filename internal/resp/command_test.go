package resp

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// TestIncompleteCommand checks that Command asks for more bytes for every incomplete part of a
// command, and that it parses the complete command without the bytes that follow it.
func TestIncompleteCommand(t *testing.T) {
	text := AppendArrayHeader(nil, 3)
	for _, word := range []string{"OBJ.GET", "", "a\r\nb"} {
		text = AppendBulk(text, word)
	}
	for i := range text {
		if _, n, err := Command(text[:i], nil); n != 0 || err != nil {
			t.Fatalf("%d of %d bytes of a command: got length %d, error %v, want 0 and no error", i, len(text), n, err)
		}
		if missing := Missing(text[:i]); missing < 1 || missing > len(text)-i {
			t.Fatalf("%d of %d bytes of a command: got %d missing bytes, want 1 to %d", i, len(text), missing, len(text)-i)
		}
	}
	words, n, err := Command(append(text, "*1"...), nil)
	if err != nil || n != len(text) || len(words) != 3 || string(words[2]) != "a\r\nb" {
		t.Fatalf("the complete command: got words %q, length %d, error %v", words, n, err)
	}
}

// TestMissingBytesOfValue checks that all bytes of an announced value count as missing.
func TestMissingBytesOfValue(t *testing.T) {
	if got := Missing([]byte("*2\r\n$3\r\nPUT\r\n$65536\r\nabc")); got != 65536-3+2 {
		t.Errorf("missing bytes of a value of 65536 bytes after 3: got %d, want %d", got, 65536-3+2)
	}
}

// TestInvalidCommands checks that Command rejects a command as soon as it has read the first invalid
// line, before the bytes that this line announces arrive.
func TestInvalidCommands(t *testing.T) {
	for name, text := range map[string]string{
		"inline command":     "PING\r\n",
		"empty array":        "*0\r\n",
		"null array":         "*-1\r\n",
		"too many words":     "*17\r\n",
		"integer":            "*1\r\n:1\r\n",
		"bulk too long":      "*1\r\n$65537\r\n",
		"null bulk":          "*1\r\n$-1\r\n",
		"bulk without CRLF":  "*1\r\n$1\r\nab",
		"no number":          "*x",
		"bare LF":            "*1\n",
		"CR in place of LF":  "*1\r\n$1\r\na\r\r",
		"frame too long":     "*2\r\n$65536\r\n" + strings.Repeat("x", 65536) + "\r\n$65536\r\n",
		"too many digits":    "*" + strings.Repeat("1", 30),
		"sign without digit": "*-\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := Command([]byte(text), nil)
			if protocolErr := (*Error)(nil); !errors.As(err, &protocolErr) {
				t.Errorf("invalid command %.40q: got error %v, want an *Error", text, err)
			}
		})
	}
}

// FuzzCommand checks that an accepted command is within the limits, that Command asks for more bytes
// for an incomplete part of it, and that its words encode to a command that is not longer.
func FuzzCommand(f *testing.F) {
	for _, s := range []string{
		"*1\r\n$4\r\nPING\r\n",
		"*2\r\n$0\r\n\r\n$1\r\nx\r\n",
		"*-1\r\n",
		"*1\r\n$-1\r\n",
		"*1\r\n$70000\r\n",
		"*16\r\n",
		"GET / HTTP/1.1\r\n",
		"*1\r\n$3\r\nabcd\r\n",
	} {
		f.Add([]byte(s), 3)
	}
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		words, n, err := Command(b, nil)
		if n > len(b) || n > MaxFrame+2 || len(words) > MaxArguments || err != nil && n != 0 {
			t.Fatalf("a limit does not hold: got %d words in %d of %d bytes, error %v", len(words), n, len(b), err)
		}
		if n == 0 || cut < 0 || cut >= n {
			return
		}
		if _, m, err := Command(b[:cut], nil); m != 0 || err != nil {
			t.Errorf("the first %d bytes of a valid command: got length %d, error %v, want 0 and no error", cut, m, err)
		}
		again := encodeCommand(words)
		if len(again) > n || bytes.Count(again, []byte("\r\n")) > bytes.Count(b[:n], []byte("\r\n")) {
			t.Errorf("the command %q is longer or has more lines when it is encoded again: %q", b[:n], again)
		}
	})
}

// encodeCommand returns the encoded command that consists of the given words.
func encodeCommand(words [][]byte) []byte {
	out := AppendArrayHeader(nil, len(words))
	for _, word := range words {
		out = AppendBulk(out, word)
	}
	return out
}
