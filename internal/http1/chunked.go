package http1

import "bytes"

// Bounds of the chunked coding, beyond which a sender means no good.
const (
	maxChunkLine = 1 << 10  // size and extensions of one chunk, bytes
	maxTrailer   = 16 << 10 // all trailer lines, bytes
)

// Step is what Chunked.Next found.
type Step int

// The steps of a chunked body, in the order in which they come.
const (
	More       Step = iota // more input is needed
	ChunkStart             // a chunk begins: Size and Ext are set
	Data                   // bytes of the body
	ChunkEnd               // the chunk is whole
	Trailer                // a trailer line
	Done                   // the body is whole
)

// Chunked decodes the chunked transfer coding, and the aws-chunked coding, which
// has the same form: there the extension carries a signature. Its zero value
// stands before the first chunk.
type Chunked struct {
	Size int64  // of the present chunk
	Ext  []byte // its extension, without the first semicolon; valid until the next call
	Line Header // of a Trailer step; valid until the next call

	left     int64
	state    chunkState
	trailers int
}

type chunkState uint8

const (
	inSize chunkState = iota
	inData
	inEnd
	inTrailer
	ended
)

// Next decodes one step from the start of b. It returns the bytes of a Data step
// and how much of b was used.
func (c *Chunked) Next(b []byte) (s Step, data []byte, used int, err *Error) {
	switch c.state {
	case inSize:
		line, n, err := chunkLine(b, maxChunkLine)
		if n == 0 || err != nil {
			return More, nil, 0, err
		}
		if err := c.size(line); err != nil {
			return More, nil, 0, err
		}
		c.left = c.Size
		if c.state = inData; c.Size == 0 {
			c.state = inTrailer
		}
		return ChunkStart, nil, n, nil
	case inData:
		if len(b) == 0 {
			return More, nil, 0, nil
		}
		n := int(min(int64(len(b)), c.left))
		if c.left -= int64(n); c.left == 0 {
			c.state = inEnd
		}
		return Data, b[:n], n, nil
	case inEnd:
		switch {
		case len(b) > 0 && b[0] != '\r' || len(b) > 1 && b[1] != '\n':
			return More, nil, 0, bad("a chunk is longer than it says")
		case len(b) < 2:
			return More, nil, 0, nil
		}
		c.state = inSize
		return ChunkEnd, nil, 2, nil
	case inTrailer:
		line, n, err := chunkLine(b, maxTrailer-c.trailers)
		if n == 0 || err != nil {
			return More, nil, 0, err
		}
		if len(line) == 0 {
			c.state = ended
			return Done, nil, n, nil
		}
		c.trailers += n
		c.Line, err = headerLine(line)
		return Trailer, nil, n, err
	}
	return Done, nil, 0, nil
}

func chunkLine(b []byte, most int) ([]byte, int, *Error) {
	i := bytes.IndexByte(b, '\n')
	switch {
	case i < 0 && len(b) > most || i > most:
		return nil, 0, bad("a line of the chunked body is too long")
	case i < 0:
		return nil, 0, nil
	case i == 0 || b[i-1] != '\r' || bytes.IndexByte(b[:i-1], '\r') >= 0:
		return nil, 0, bad("a line of the chunked body ends in a bare CR or LF")
	}
	return b[:i-1], i + 1, nil
}

func (c *Chunked) size(line []byte) *Error {
	hex, ext, _ := bytes.Cut(line, []byte(";"))
	if len(hex) == 0 || len(hex) > 15 {
		return bad("a chunk's size is not a hexadecimal number")
	}
	c.Size, c.Ext = 0, ext
	for _, d := range hex {
		v := hexValue(d)
		if v < 0 {
			return bad("a chunk's size is not a hexadecimal number")
		}
		c.Size = c.Size<<4 | int64(v)
	}
	return nil
}

func hexValue(d byte) int {
	switch {
	case '0' <= d && d <= '9':
		return int(d - '0')
	case 'a' <= lower(d) && lower(d) <= 'f':
		return int(lower(d)-'a') + 10
	}
	return -1
}
