package bench

import (
	"bufio"
	"io"
	"net/http/httputil"

	"chalkstand/internal/http1"
)

// readResponse reads a response and discards its body, whose length it returns.
func readResponse(r *bufio.Reader, method string, scan *http1.Head, resp *http1.Response) (int64, error) {
	if err := readHead(r, method, scan, resp); err != nil {
		return 0, err
	}
	if resp.Chunked {
		return io.Copy(io.Discard, httputil.NewChunkedReader(r))
	}
	_, err := io.CopyN(io.Discard, r, resp.Length)
	return resp.Length, err
}

// readHead reads the head of a response. The values of its headers are valid until the next read.
func readHead(r *bufio.Reader, method string, scan *http1.Head, resp *http1.Response) error {
	for want := 1; ; {
		if _, err := r.Peek(want); err != nil {
			return err
		}
		b, _ := r.Peek(r.Buffered()) // cannot fail: the bytes are buffered
		n, parseErr := scan.ParseResponse(b, http1.DefaultLimits, method, resp)
		if parseErr != nil {
			return parseErr
		}
		if n > 0 {
			_, err := r.Discard(n)
			return err
		}
		want = len(b) + 1
	}
}
