package resp

import (
	"bytes"
	"testing"
)

// However a command is cut into pieces, it is the same command; what is read keeps to the bounds.
func FuzzCommand(f *testing.F) {
	for _, s := range []string{"*1\r\n$4\r\nPING\r\n", "*2\r\n$0\r\n\r\n$1\r\nx\r\n", "*-1\r\n", "*1\r\n$-1\r\n", "*1\r\n$70000\r\n", "*16\r\n", "GET / HTTP/1.1\r\n", "*1\r\n$3\r\nabcd\r\n"} {
		f.Add([]byte(s), 3)
	}
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		words, n, err := Command(b, nil)
		if n > len(b) || n > MaxFrame+2 || len(words) > MaxArguments || err != nil && n != 0 {
			t.Fatalf("%d words, %d of %d bytes, %v", len(words), n, len(b), err)
		}
		if n == 0 {
			return
		}
		if cut < 0 || cut >= n {
			return
		}
		if _, m, err := Command(b[:cut], nil); m != 0 || err != nil {
			t.Errorf("its first %d bytes: %d, %v", cut, m, err)
		}
		again := AppendCount(nil, len(words))
		for _, w := range words {
			again = AppendBulk(again, w)
		}
		if len(again) > n || bytes.Count(again, []byte("\r\n")) > bytes.Count(b[:n], []byte("\r\n")) {
			t.Errorf("%q, written again %q", b[:n], again)
		}
	})
}
