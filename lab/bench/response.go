package bench

import (
	"bufio"
	"io"
	"net/http/httputil"

	"chalkstand/internal/http1"
)

// readResponse reads a response, discards its body, and returns the length of the body.
func readResponse(r *bufio.Reader, method string, parser *http1.HeadParser, resp *http1.Response) (int64, error) {
	if err := readHead(r, method, parser, resp); err != nil {
		return 0, err
	}
	if resp.Chunked {
		return io.Copy(io.Discard, httputil.NewChunkedReader(r))
	}
	_, err := io.CopyN(io.Discard, r, resp.Length)
	return resp.Length, err
}

// readHead reads the head of a response into resp. The header values in resp are valid until the next read from r.
func readHead(r *bufio.Reader, method string, parser *http1.HeadParser, resp *http1.Response) error {
	for minBytes := 1; ; {
		if _, err := r.Peek(minBytes); err != nil {
			return err
		}
		b, _ := r.Peek(r.Buffered()) // cannot fail: the bytes are already in the buffer
		n, parseErr := parser.ParseResponse(b, http1.DefaultLimits, method, resp)
		if parseErr != nil {
			return parseErr
		}
		if n > 0 {
			_, err := r.Discard(n)
			return err
		}
		minBytes = len(b) + 1
	}
}
