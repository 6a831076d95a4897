package http1

import "bytes"

// Limits of a chunked body's lines.
const (
	maxChunkLine  = 1 << 10  // bytes in the line with a chunk's size and extension
	maxTrailer    = 16 << 10 // bytes in all trailer lines together
	maxSizeDigits = 15       // hexadecimal digits in a chunk's size, so that the size fits an int64
)

// Step is the part of a chunked body that one call of Chunked.Next has decoded.
type Step int

// The steps of a chunked body. All but More are listed in the order in which they occur in a body.
const (
	More       Step = iota // The input ends before the next step is complete.
	ChunkStart             // A chunk begins. Chunked.Size and Chunked.Ext describe it.
	Data                   // Next returned bytes of the body.
	ChunkEnd               // The current chunk is complete.
	Trailer                // Next parsed a trailer line into Chunked.Line.
	Done                   // The body and its trailer are complete.
)

// Chunked decodes a body in the chunked transfer coding. It also decodes the aws-chunked coding,
// which has the same syntax and carries a signature in the chunk extension. The zero value is ready
// to decode a body from its start.
type Chunked struct {
	Size int64  // length of the current chunk's data, in bytes
	Ext  []byte // extension of the current chunk without its first semicolon; valid until the next call of Next
	Line Header // parsed line of a Trailer step; valid until the next call of Next

	remaining    int64 // bytes of the current chunk's data that Next has not returned yet
	state        chunkState
	trailerBytes int // length of the trailer lines parsed so far
}

// chunkState is the part of a chunked body that Chunked expects next.
type chunkState uint8

const (
	atChunkSize chunkState = iota
	inChunkData
	atChunkEnd
	inTrailer
	bodyEnded
)

// Next decodes one step from the start of b. It returns the body's bytes of a Data step, and the
// number of bytes of b that the step consumed.
func (c *Chunked) Next(b []byte) (s Step, data []byte, used int, err *Error) {
	switch c.state {
	case atChunkSize:
		s, used, err = c.readSize(b)
		return s, nil, used, err
	case inChunkData:
		return c.readData(b)
	case atChunkEnd:
		s, used, err = c.readEnd(b)
		return s, nil, used, err
	case inTrailer:
		s, used, err = c.readTrailer(b)
		return s, nil, used, err
	}
	return Done, nil, 0, nil
}

// readSize reads the line that starts a chunk and holds its size and extension.
func (c *Chunked) readSize(b []byte) (Step, int, *Error) {
	line, n, err := cutChunkLine(b, maxChunkLine)
	if n == 0 || err != nil {
		return More, 0, err
	}
	if err := c.parseSize(line); err != nil {
		return More, 0, err
	}
	c.remaining = c.Size
	c.state = inChunkData
	if c.Size == 0 { // A chunk of size 0 ends the data. The trailer follows it.
		c.state = inTrailer
	}
	return ChunkStart, n, nil
}

// readData returns the bytes of b that belong to the current chunk's data.
func (c *Chunked) readData(b []byte) (Step, []byte, int, *Error) {
	if len(b) == 0 {
		return More, nil, 0, nil
	}
	n := int(min(int64(len(b)), c.remaining))
	c.remaining -= int64(n)
	if c.remaining == 0 {
		c.state = atChunkEnd
	}
	return Data, b[:n], n, nil
}

// readEnd reads the CRLF that follows a chunk's data.
func (c *Chunked) readEnd(b []byte) (Step, int, *Error) {
	switch {
	case len(b) > 0 && b[0] != '\r' || len(b) > 1 && b[1] != '\n':
		return More, 0, badRequest("a chunk is longer than it says")
	case len(b) < len(crlf):
		return More, 0, nil
	}
	c.state = atChunkSize
	return ChunkEnd, len(crlf), nil
}

// readTrailer reads one trailer line, or the empty line that ends the body.
func (c *Chunked) readTrailer(b []byte) (Step, int, *Error) {
	line, n, err := cutChunkLine(b, maxTrailer-c.trailerBytes)
	if n == 0 || err != nil {
		return More, 0, err
	}
	if len(line) == 0 {
		c.state = bodyEnded
		return Done, n, nil
	}
	c.trailerBytes += n
	c.Line, err = parseHeaderLine(line)
	return Trailer, n, err
}

// cutChunkLine returns the first line of b without its CRLF, and the line's length n including its
// CRLF. The line may have at most limit bytes before its LF. n is 0 if b does not yet hold a
// complete line.
func cutChunkLine(b []byte, limit int) (line []byte, n int, err *Error) {
	i := bytes.IndexByte(b, '\n')
	switch {
	case i < 0 && len(b) > limit || i > limit:
		return nil, 0, badRequest("a line of the chunked body is too long")
	case i < 0:
		return nil, 0, nil
	case i == 0 || b[i-1] != '\r' || bytes.IndexByte(b[:i-1], '\r') >= 0:
		return nil, 0, badRequest("a line of the chunked body ends in a bare CR or LF")
	}
	return b[:i-1], i + 1, nil
}

// parseSize parses a chunk's size and extension into c.Size and c.Ext.
func (c *Chunked) parseSize(line []byte) *Error {
	digits, ext, _ := bytes.Cut(line, []byte(";"))
	if len(digits) == 0 || len(digits) > maxSizeDigits {
		return badRequest("a chunk's size is not a hexadecimal number")
	}
	c.Size = 0
	c.Ext = ext
	for _, digit := range digits {
		v := hexValue(digit)
		if v < 0 {
			return badRequest("a chunk's size is not a hexadecimal number")
		}
		c.Size = c.Size<<4 | int64(v)
	}
	return nil
}

// hexValue returns the value of a hexadecimal digit, or -1 if the byte is not one.
func hexValue(digit byte) int {
	switch {
	case '0' <= digit && digit <= '9':
		return int(digit - '0')
	case 'a' <= lower(digit) && lower(digit) <= 'f':
		return int(lower(digit)-'a') + 10
	}
	return -1
}
