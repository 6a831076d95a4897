package http1

import "strconv"

// AppendStatus appends the status line of a response to b.
func AppendStatus(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, Reason(status)...)
	return append(b, "\r\n"...)
}

// AppendHeader appends one header line to b. It replaces CR, LF and NUL in the value with spaces,
// because a value that holds them could add header lines or end the head.
func AppendHeader[T ~string | ~[]byte](b []byte, name string, value T) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	from := len(b)
	b = append(b, value...)
	for i := from; i < len(b); i++ {
		if b[i] == '\r' || b[i] == '\n' || b[i] == 0 {
			b[i] = ' '
		}
	}
	return append(b, "\r\n"...)
}

// AppendLength appends a Content-Length header line to b.
func AppendLength(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, "\r\n"...)
}

// AppendChunk appends data to b as one chunk of a chunked body. It appends nothing if data is
// empty, because an empty chunk would end the body.
func AppendChunk(b, data []byte) []byte {
	if len(data) == 0 {
		return b
	}
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, "\r\n"...)
	b = append(b, data...)
	return append(b, "\r\n"...)
}

// LastChunk is the encoded end of a chunked body that has no trailer.
const LastChunk = "0\r\n\r\n"

// Reason returns the reason phrase of a status code. For a status code that the gateway never
// sends, it returns "Status".
func Reason(status int) string {
	if r, ok := reasons[status]; ok {
		return r
	}
	return "Status"
}

// reasons maps each status code that the gateway sends to its reason phrase.
var reasons = map[int]string{
	100: "Continue",
	200: "OK",
	201: "Created",
	204: "No Content",
	206: "Partial Content",
	207: "Multi-Status",
	301: "Moved Permanently",
	304: "Not Modified",
	307: "Temporary Redirect",
	400: "Bad Request",
	403: "Forbidden",
	404: "Not Found",
	405: "Method Not Allowed",
	408: "Request Timeout",
	409: "Conflict",
	411: "Length Required",
	412: "Precondition Failed",
	413: "Content Too Large",
	414: "URI Too Long",
	416: "Range Not Satisfiable",
	417: "Expectation Failed",
	431: "Request Header Fields Too Large",
	500: "Internal Server Error",
	501: "Not Implemented",
	502: "Bad Gateway",
	503: "Service Unavailable",
	504: "Gateway Timeout",
	505: "HTTP Version Not Supported",
}
