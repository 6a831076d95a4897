package resp

import "fmt"

// nullLength is the length of a null bulk string and the count of a null array.
const nullLength = -1

// The parsers below return an end of 0, and no error, where more bytes are needed.

// parseLine parses a reply of one line: the kind's byte, the text and CRLF.
func parseLine(b []byte) (text []byte, end int, err error) {
	for i := 1; i < len(b) && i <= MaxLine; i++ {
		switch b[i] {
		case '\n':
			return nil, 0, newError("CRLF at the end of a line", "LF")
		case '\r':
			if i+1 == len(b) {
				return nil, 0, nil
			}
			if b[i+1] != '\n' {
				return nil, 0, newError("CRLF at the end of a line", "CR")
			}
			return b[1:i:i], i + 2, nil
		}
	}
	if len(b) > MaxLine {
		return nil, 0, newError(fmt.Sprintf("a line of at most %d bytes", MaxLine), "more")
	}
	return nil, 0, nil
}

// parseItem parses a bulk string that begins at an offset, and returns the offset of its end. Its
// length is minLength or more; nullLength allows a null one.
func parseItem(b []byte, at, minLength int) (item Item, end int, err error) {
	length, n, err := parseNumber(b[at:], '$', "a bulk string")
	switch {
	case err != nil || n == 0:
		return Item{}, 0, err
	case length < minLength:
		return Item{}, 0, newError(fmt.Sprintf("a length of %d or more", minLength), "%d", length)
	case length < 0:
		return Item{Null: true}, at + n, nil
	}
	text, end, err := parseBulk(b, at+n, length)
	return Item{Text: text}, end, err
}

// parseBulk parses the bytes of a bulk string, which begin at an offset, and the CRLF after them.
func parseBulk(b []byte, at, length int) (text []byte, end int, err error) {
	if length > MaxBulk {
		return nil, 0, newError(fmt.Sprintf("at most %d bytes in a bulk string", MaxBulk), "%d", length)
	}
	crlf := at + length
	if crlf > MaxFrame {
		return nil, 0, newError(fmt.Sprintf("at most %d bytes in all", MaxFrame), "%d and more", crlf)
	}
	if crlf < len(b) && b[crlf] != '\r' || crlf+1 < len(b) && b[crlf+1] != '\n' {
		return nil, 0, unexpected(fmt.Sprintf("CRLF after %d bytes", length), b[crlf:])
	}
	if len(b) < crlf+2 {
		return nil, 0, nil
	}
	return b[at:crlf:crlf], crlf + 2, nil
}

// parseNumber parses the line of a count or length: its marker, an optional sign, digits and CRLF.
// Values beyond maxNumber saturate. what is expected where the marker is another.
func parseNumber(b []byte, marker byte, what string) (value, end int, err error) {
	if len(b) == 0 {
		return 0, 0, nil
	}
	if b[0] != marker {
		return 0, 0, unexpected(what, b)
	}
	i := 1
	negative := i < len(b) && b[i] == '-'
	if negative {
		i++
	}
	first := i
	for ; i < len(b) && b[i] >= '0' && b[i] <= '9'; i++ {
		if i-first >= maxDigits {
			return 0, 0, unexpected("a number of fewer digits", b)
		}
		value = min(value*10+int(b[i]-'0'), maxNumber)
	}
	if i < len(b) && (b[i] != '\r' || i == first) || i+1 < len(b) && b[i+1] != '\n' {
		return 0, 0, unexpected("a number and CRLF", b)
	}
	if i+1 >= len(b) {
		return 0, 0, nil
	}
	if negative {
		value = -value
	}
	return value, i + 2, nil
}
