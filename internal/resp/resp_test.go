package resp

import (
	"bytes"
	"strings"
	"testing"
)

// A command read in any pieces is the same, and no piece of it is an error.
func TestCommandInPieces(t *testing.T) {
	text := AppendCount(nil, 3)
	for _, w := range []string{"OBJ.GET", "", "a\r\nb"} {
		text = AppendBulk(text, w)
	}
	for i := range text {
		if _, n, err := Command(text[:i], nil); n != 0 || err != nil {
			t.Fatalf("%d of %d bytes: %d, %v", i, len(text), n, err)
		}
	}
	w, n, err := Command(append(text, "*1"...), nil)
	if err != nil || n != len(text) || len(w) != 3 || string(w[2]) != "a\r\nb" {
		t.Fatalf("%q, %d, %v", w, n, err)
	}
}

// What is wrong is found with its line, before what it announces has come.
func TestBadCommands(t *testing.T) {
	for _, s := range []string{
		"PING\r\n", "*0\r\n", "*-1\r\n", "*17\r\n", "*1\r\n:1\r\n", "*1\r\n$65537\r\n", "*1\r\n$-1\r\n", "*1\r\n$1\r\nab", "*x",
		"*1\n", "*1\r\n$1\r\na\r\r", "*2\r\n$65536\r\n" + strings.Repeat("x", 65536) + "\r\n$65536\r\n", "*" + strings.Repeat("1", 30), "*-\r\n",
	} {
		if _, _, err := Command([]byte(s), nil); err == nil {
			t.Errorf("%.40q: no error", s)
		}
	}
}

func TestAnswers(t *testing.T) {
	var a Reply
	for _, c := range []struct {
		text  string
		kind  Kind
		items int
	}{
		{"+OK\r\n", SimpleString, 0},
		{"-BUSY 50\r\n", ErrorReply, 0},
		{":7\r\n", Integer, 0},
		{"$3\r\nabc\r\n", BulkString, 0},
		{"$-1\r\n", BulkString, 0},
		{"*3\r\n$1\r\nv\r\n$-1\r\n$0\r\n\r\n", Array, 3},
		{"*-1\r\n", Array, 0},
		{"*0\r\n", Array, 0},
	} {
		for i := range c.text {
			if n, err := a.Read([]byte(c.text[:i])); n != 0 || err != nil {
				t.Fatalf("%q, %d bytes: %d, %v", c.text, i, n, err)
			}
		}
		if n, err := a.Read([]byte(c.text + "more")); n != len(c.text) || err != nil || a.Kind != c.kind || len(a.Items) != c.items {
			t.Errorf("%q: %d, %v, %+v", c.text, n, err, a)
		}
	}
	for _, s := range []string{"noise", "$3000000000\r\n", "$-2\r\n", "*9\r\n", "*1\r\n*1\r\n", "+a\nb", "+a\rb", "+" + strings.Repeat("x", MaxLine+1), "$1\r\nab\r\n"} {
		if _, err := a.Read([]byte(s)); err == nil {
			t.Errorf("%.40q: no error", s)
		}
	}
}

// A line can't be broken out of by what it says.
func TestLineStaysOne(t *testing.T) {
	b := AppendLine(nil, ErrorReply, "ERR a\r\n+OK\r\n"+strings.Repeat("x", 2*MaxLine))
	var a Reply
	if n, err := a.Read(b); n != len(b) || err != nil || a.Kind != ErrorReply {
		t.Errorf("%d of %d, %v", n, len(b), err)
	}
}

// Whatever comes, nothing is read beyond it, and what is read whole is read the same from
// its own bytes alone.
func FuzzRead(f *testing.F) {
	for _, s := range []string{"*1\r\n$4\r\nPING\r\n", "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", "-ERR failed\r\n", "$-1\r\n", "*2\r\n$65536\r\n", "\x00", "+\r\n", "*-1\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if words, n, err := Command(b, nil); n > 0 {
			again, m, _ := Command(b[:n], nil)
			if err != nil || n > len(b) || m != n || len(again) != len(words) || len(words) == 0 {
				t.Fatalf("%d and %d of %d bytes, %v", n, m, len(b), err)
			}
			out := AppendCount(nil, len(words))
			for _, w := range words {
				out = AppendBulk(out, w)
			}
			if back, _, err := Command(out, nil); err != nil || len(back) != len(words) || !bytes.Equal(back[0], words[0]) {
				t.Fatalf("written %q: %v", out, err)
			}
		}
		var a Reply
		if n, err := a.Read(b); n > len(b) || n > 0 && err != nil || len(a.Items) > MaxItems {
			t.Fatalf("%d of %d bytes, %v", n, len(b), err)
		}
	})
}
