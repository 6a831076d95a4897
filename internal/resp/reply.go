package resp

import "fmt"

// Kind is the kind of a reply. Its value is the first byte of the encoded reply.
type Kind byte

// The kinds of replies.
const (
	SimpleString Kind = '+'
	ErrorReply   Kind = '-'
	Integer      Kind = ':'
	BulkString   Kind = '$'
	Array        Kind = '*'
)

// Item is a bulk string in a reply. Its Text is nil if Null is set.
type Item struct {
	Text []byte
	Null bool
}

// Reply is one complete reply.
type Reply struct {
	Kind  Kind
	Text  []byte // content of a reply that is a line or a bulk string
	Null  bool   // The reply is a null bulk string or a null array.
	Items []Item // items of a reply that is an array
}

// Read parses the reply at the start of b into r and returns the reply's length n in bytes. It
// reuses the slice r.Items. n is 0 if b does not hold a complete reply yet. Every error that Read
// returns is an *Error.
func (r *Reply) Read(b []byte) (n int, err error) {
	if len(b) == 0 {
		return 0, nil
	}
	*r = Reply{Kind: Kind(b[0]), Items: r.Items[:0]}
	switch r.Kind {
	case SimpleString, ErrorReply, Integer:
		r.Text, n, err = parseLine(b)
		return n, err
	case BulkString:
		item, n, err := parseItem(b, 0, nullLength)
		r.Text = item.Text
		r.Null = item.Null
		return n, err
	case Array:
		return r.readArray(b)
	}
	return 0, unexpected("a reply", b)
}

// readArray parses an array of bulk strings into r.Items.
func (r *Reply) readArray(b []byte) (int, error) {
	count, n, err := parseNumber(b, '*', "an array")
	switch {
	case err != nil || n == 0:
		return 0, err
	case count == nullLength:
		r.Null = true
		return n, nil
	case count < 0 || count > MaxItems:
		return 0, newError(fmt.Sprintf("0 to %d items", MaxItems), "%d", count)
	}
	for range count {
		item, end, err := parseItem(b, n, nullLength)
		if err != nil || end == 0 {
			return 0, err
		}
		r.Items = append(r.Items, item)
		n = end
	}
	return n, nil
}
