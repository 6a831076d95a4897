package http1

import "bytes"

// Bounds of the chunked coding.
const (
	maxChunkLine  = 1 << 10  // size and extension of one chunk, bytes
	maxTrailer    = 16 << 10 // all trailer lines, bytes
	maxSizeDigits = 15       // hexadecimal, so that a size fits an int64
)

// Step is what Chunked.Next has decoded.
type Step int

// The steps of a chunked body, in the order in which they come.
const (
	More       Step = iota // more input is needed
	ChunkStart             // a chunk begins: Size and Ext are set
	Data                   // bytes of the body
	ChunkEnd               // the chunk is whole
	Trailer                // a trailer line: Line is set
	Done                   // the body is whole
)

// Chunked decodes the chunked transfer coding, and the aws-chunked coding, which
// has the same form: there the extension carries a signature. The zero value is ready for the
// start of a body.
type Chunked struct {
	Size int64  // of the present chunk, in bytes
	Ext  []byte // its extension, without the first semicolon; valid until the next call
	Line Header // of a Trailer step; valid until the next call

	remaining    int64 // of the present chunk, in bytes
	state        chunkState
	trailerBytes int
}

// chunkState is what Chunked expects next.
type chunkState uint8

const (
	atChunkSize chunkState = iota
	inChunkData
	atChunkEnd
	inTrailer
	bodyEnded
)

// Next decodes one step from the start of b. It returns the bytes of a Data step
// and how much of b was used.
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

// readSize reads the line with which a chunk begins.
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
	if c.Size == 0 { // the last chunk
		c.state = inTrailer
	}
	return ChunkStart, n, nil
}

// readData returns what is there of a chunk's data.
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

// readEnd reads the CRLF after a chunk's data.
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

// readTrailer reads a trailer line or the empty line that ends the body.
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

// cutChunkLine returns a line of up to limit bytes, without its CRLF, and its length with it; 0
// means that more input is needed.
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

// parseSize parses a chunk's size and extension.
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

// hexValue returns the value of a hexadecimal digit, or -1.
func hexValue(digit byte) int {
	switch {
	case '0' <= digit && digit <= '9':
		return int(digit - '0')
	case 'a' <= lower(digit) && lower(digit) <= 'f':
		return int(lower(digit)-'a') + 10
	}
	return -1
}
