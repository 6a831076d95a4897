package resp

import "fmt"

// nullLength is the number that RESP2 writes as the length of a null bulk string and as the item
// count of a null array.
const nullLength = -1

// The parse functions below return 0 as end and no error if their input is incomplete.

// parseLine parses a reply of one line, which consists of the byte that tells the kind, the text,
// and CRLF.
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

// parseItem parses the bulk string that begins at the given offset of b, and returns the offset of
// its end. The length of the bulk string must be at least minLength. A minLength of nullLength also
// allows a null bulk string.
func parseItem(b []byte, offset, minLength int) (item Item, end int, err error) {
	length, n, err := parseNumber(b[offset:], '$', "a bulk string")
	switch {
	case err != nil || n == 0:
		return Item{}, 0, err
	case length < minLength:
		return Item{}, 0, newError(fmt.Sprintf("a length of %d or more", minLength), "%d", length)
	case length < 0:
		return Item{Null: true}, offset + n, nil
	}
	text, end, err := parseBulk(b, offset+n, length)
	return Item{Text: text}, end, err
}

// parseBulk parses the content of a bulk string and the CRLF after it. The content begins at the
// given offset of b and has the given length.
func parseBulk(b []byte, offset, length int) (text []byte, end int, err error) {
	if length > MaxBulk {
		return nil, 0, newError(fmt.Sprintf("at most %d bytes in a bulk string", MaxBulk), "%d", length)
	}
	crlfOffset := offset + length
	if crlfOffset > MaxFrame {
		return nil, 0, newError(fmt.Sprintf("at most %d bytes in all", MaxFrame), "%d and more", crlfOffset)
	}
	if crlfOffset < len(b) && b[crlfOffset] != '\r' || crlfOffset+1 < len(b) && b[crlfOffset+1] != '\n' {
		return nil, 0, unexpected(fmt.Sprintf("CRLF after %d bytes", length), b[crlfOffset:])
	}
	if len(b) < crlfOffset+2 {
		return nil, 0, nil
	}
	return b[offset:crlfOffset:crlfOffset], crlfOffset + 2, nil
}

// parseNumber parses the line of a count or length, which consists of a marker byte, an optional
// minus sign, digits and CRLF. It returns maxNumber in place of any larger value. expected describes
// the valid input for the error that parseNumber returns if b begins with another byte than marker.
func parseNumber(b []byte, marker byte, expected string) (value, end int, err error) {
	if len(b) == 0 {
		return 0, 0, nil
	}
	if b[0] != marker {
		return 0, 0, unexpected(expected, b)
	}
	i := 1
	negative := i < len(b) && b[i] == '-'
	if negative {
		i++
	}
	digitsStart := i
	for ; i < len(b) && b[i] >= '0' && b[i] <= '9'; i++ {
		if i-digitsStart >= maxDigits {
			return 0, 0, unexpected("a number of fewer digits", b)
		}
		value = min(value*10+int(b[i]-'0'), maxNumber)
	}
	if i < len(b) && (b[i] != '\r' || i == digitsStart) || i+1 < len(b) && b[i+1] != '\n' {
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
