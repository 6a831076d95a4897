// Package resp reads and writes RESP2, the serialization protocol of the platform's
// clients and storage nodes, as far as they use it: commands are arrays of bulk
// strings, answers are lines, bulk strings, or arrays of bulk strings. It is
// incremental, does no I/O and keeps nothing: what it returns are parts of what it was
// given. Every count and length is bounded, and a bad one is found as soon as its line
// is there, before what it announces has come.
package resp

import (
	"fmt"
	"strconv"
)

// Bounds of what is read. Sizes are in bytes.
const (
	MaxArguments = 16       // of a command
	MaxItems     = 8        // of an array in an answer
	MaxBulk      = 64 << 10 // a bulk string
	MaxFrame     = 80 << 10 // a whole command or answer
	MaxLine      = 1 << 10  // an answer of one line
	maxCount     = 24       // the line of a count or length
)

// Error tells what was expected and what came in its place. What follows it on a
// connection can't be read.
type Error struct{ Expected, Got string }

func (e *Error) Error() string { return "expected " + e.Expected + ", got " + e.Got }

func bad(expected, format string, args ...any) error {
	return &Error{Expected: expected, Got: fmt.Sprintf(format, args...)}
}

// shown is how many bytes of something unreadable an error quotes.
const shown = 24

func quoted(b []byte) string { return strconv.Quote(string(b[:min(len(b), shown)])) }

// Command reads one command from b. It returns the words, appended to into, and how many
// bytes the command took; 0: more bytes are needed.
func Command(b []byte, into [][]byte) (words [][]byte, n int, err error) {
	count, n, err := number(b, '*', "an array of bulk strings")
	switch {
	case err != nil || n == 0:
		return nil, 0, err
	case count < 1 || count > MaxArguments:
		return nil, 0, bad(fmt.Sprintf("1 to %d words", MaxArguments), "%d", count)
	}
	words = into
	for range count {
		it, m, err := item(b, n, 0)
		if err != nil || m == 0 {
			return nil, 0, err
		}
		words, n = append(words, it.Text), m
	}
	return words, n, nil
}

// bulk takes a bulk string of a size whose bytes begin at from, and returns where it ends.
func bulk(b []byte, from, size int) ([]byte, int, error) {
	if size > MaxBulk {
		return nil, 0, bad(fmt.Sprintf("at most %d bytes in a bulk string", MaxBulk), "%d", size)
	}
	end := from + size
	if end > MaxFrame {
		return nil, 0, bad(fmt.Sprintf("at most %d bytes in all", MaxFrame), "%d and more", end)
	}
	if end < len(b) && b[end] != '\r' || end+1 < len(b) && b[end+1] != '\n' {
		return nil, 0, bad(fmt.Sprintf("CRLF after %d bytes", size), "%s", quoted(b[end:]))
	}
	if len(b) < end+2 {
		return nil, 0, nil
	}
	return b[from:end:end], end + 2, nil
}

// number reads the line of a count or a length: its mark, digits and CRLF.
func number(b []byte, mark byte, what string) (x, n int, err error) {
	if len(b) == 0 {
		return 0, 0, nil
	}
	if b[0] != mark {
		return 0, 0, bad(what, "%s", quoted(b))
	}
	i, neg := 1, false
	if i < len(b) && b[i] == '-' {
		neg = true
		i++
	}
	first := i
	for ; i < len(b) && b[i] >= '0' && b[i] <= '9'; i++ {
		if i-first >= maxCount {
			return 0, 0, bad("a number of fewer digits", "%s", quoted(b))
		}
		x = min(x*10+int(b[i]-'0'), 1<<40)
	}
	if i < len(b) && (b[i] != '\r' || i == first) || i+1 < len(b) && b[i+1] != '\n' {
		return 0, 0, bad("a number and CRLF", "%s", quoted(b))
	}
	if i+1 >= len(b) {
		return 0, 0, nil
	}
	if neg {
		x = -x
	}
	return x, i + 2, nil
}

// Kind is the kind of an answer, by its first byte.
type Kind byte

// The kinds of answer that are read.
const (
	SimpleString Kind = '+'
	ErrorReply   Kind = '-'
	Integer      Kind = ':'
	BulkString   Kind = '$'
	Array        Kind = '*'
)

// Item is a bulk string of an answer.
type Item struct {
	Text []byte
	Null bool
}

// Reply is one whole answer.
type Reply struct {
	Kind  Kind
	Text  []byte // of a line, or of a bulk string
	Null  bool   // a null bulk string or array
	Items []Item // of an array
}

// Read reads one answer from b into a, whose Items it uses again. It returns how many
// bytes the answer took; 0: more bytes are needed.
func (a *Reply) Read(b []byte) (n int, err error) {
	if len(b) == 0 {
		return 0, nil
	}
	*a = Reply{Kind: Kind(b[0]), Items: a.Items[:0]}
	switch a.Kind {
	case SimpleString, ErrorReply, Integer:
		a.Text, n, err = line(b)
		return n, err
	case BulkString:
		it, n, err := item(b, 0, -1)
		a.Text, a.Null = it.Text, it.Null
		return n, err
	case Array:
		return a.array(b)
	}
	return 0, bad("an answer", "%s", quoted(b))
}

func line(b []byte) ([]byte, int, error) {
	for i := 1; i < len(b) && i <= MaxLine; i++ {
		switch b[i] {
		case '\n':
			return nil, 0, bad("CRLF at the end of a line", "LF")
		case '\r':
			if i+1 == len(b) {
				return nil, 0, nil
			}
			if b[i+1] != '\n' {
				return nil, 0, bad("CRLF at the end of a line", "CR")
			}
			return b[1:i:i], i + 2, nil
		}
	}
	if len(b) > MaxLine {
		return nil, 0, bad(fmt.Sprintf("a line of at most %d bytes", MaxLine), "more")
	}
	return nil, 0, nil
}

// item reads a bulk string at a place, and returns where it ends. Its length is least or
// more; -1 is that of a null one.
func item(b []byte, at, least int) (Item, int, error) {
	size, m, err := number(b[at:], '$', "a bulk string")
	switch {
	case err != nil || m == 0:
		return Item{}, 0, err
	case size < least:
		return Item{}, 0, bad(fmt.Sprintf("a length of %d or more", least), "%d", size)
	case size < 0:
		return Item{Null: true}, at + m, nil
	}
	text, n, err := bulk(b, at+m, size)
	return Item{Text: text}, n, err
}

func (a *Reply) array(b []byte) (int, error) {
	count, n, err := number(b, '*', "an array")
	switch {
	case err != nil || n == 0:
		return 0, err
	case count == -1:
		a.Null = true
		return n, nil
	case count < 0 || count > MaxItems:
		return 0, bad(fmt.Sprintf("0 to %d items", MaxItems), "%d", count)
	}
	for range count {
		it, m, err := item(b, n, -1)
		if err != nil || m == 0 {
			return 0, err
		}
		a.Items, n = append(a.Items, it), m
	}
	return n, nil
}

// AppendCount appends the beginning of an array.
func AppendCount(to []byte, n int) []byte {
	to = append(to, '*')
	to = strconv.AppendInt(to, int64(n), 10)
	return append(to, '\r', '\n')
}

// AppendSize appends the beginning of a bulk string, whose bytes and CRLF follow.
func AppendSize(to []byte, n int) []byte {
	to = append(to, '$')
	to = strconv.AppendInt(to, int64(n), 10)
	return append(to, '\r', '\n')
}

// AppendBulk appends a bulk string.
func AppendBulk[T []byte | string](to []byte, b T) []byte {
	to = append(AppendSize(to, len(b)), b...)
	return append(to, '\r', '\n')
}

// AppendNull appends a null bulk string.
func AppendNull(to []byte) []byte { return append(to, "$-1\r\n"...) }

// AppendLine appends an answer of one line. What would end the line is replaced.
func AppendLine(to []byte, k Kind, text string) []byte {
	to = append(to, byte(k))
	for i := range min(len(text), MaxLine-1) {
		c := text[i]
		if c == '\r' || c == '\n' {
			c = ' '
		}
		to = append(to, c)
	}
	return append(to, '\r', '\n')
}
