package resp

import "strconv"

// AppendArrayHeader appends the header of an array of n items. The caller appends the items next.
func AppendArrayHeader(dst []byte, n int) []byte { return appendNumber(dst, '*', n) }

// AppendBulkHeader appends the header of a bulk string of n bytes. The caller appends these bytes
// and CRLF next.
func AppendBulkHeader(dst []byte, n int) []byte { return appendNumber(dst, '$', n) }

// appendNumber appends the line of a count or length n, which begins with the given marker byte.
func appendNumber(dst []byte, marker byte, n int) []byte {
	dst = append(dst, marker)
	dst = strconv.AppendInt(dst, int64(n), 10)
	return append(dst, '\r', '\n')
}

// AppendBulk appends a bulk string with the content b.
func AppendBulk[T []byte | string](dst []byte, b T) []byte {
	dst = append(AppendBulkHeader(dst, len(b)), b...)
	return append(dst, '\r', '\n')
}

// AppendNull appends a null bulk string.
func AppendNull(dst []byte) []byte { return append(dst, "$-1\r\n"...) }

// AppendLine appends a reply of one line. It replaces CR and LF in the text with spaces, and cuts
// the text to its first MaxLine-1 bytes.
func AppendLine(dst []byte, k Kind, text string) []byte {
	dst = append(dst, byte(k))
	for i := range min(len(text), MaxLine-1) {
		c := text[i]
		if c == '\r' || c == '\n' {
			c = ' '
		}
		dst = append(dst, c)
	}
	return append(dst, '\r', '\n')
}
