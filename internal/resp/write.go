package resp

import "strconv"

// AppendArrayHeader appends the header of an array of n items, which follow.
func AppendArrayHeader(to []byte, n int) []byte { return appendNumber(to, '*', n) }

// AppendBulkHeader appends the header of a bulk string of n bytes, which follow with their CRLF.
func AppendBulkHeader(to []byte, n int) []byte { return appendNumber(to, '$', n) }

// appendNumber appends the line of a count or length.
func appendNumber(to []byte, marker byte, n int) []byte {
	to = append(to, marker)
	to = strconv.AppendInt(to, int64(n), 10)
	return append(to, '\r', '\n')
}

// AppendBulk appends a bulk string.
func AppendBulk[T []byte | string](to []byte, b T) []byte {
	to = append(AppendBulkHeader(to, len(b)), b...)
	return append(to, '\r', '\n')
}

// AppendNull appends a null bulk string.
func AppendNull(to []byte) []byte { return append(to, "$-1\r\n"...) }

// AppendLine appends a reply of one line. CR and LF in the text become spaces, and a text of
// MaxLine bytes or more is cut.
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
