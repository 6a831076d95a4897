package discovery

import (
	"bytes"
	"io"
	"time"

	"chalkstand/internal/endpoints"
)

// documentReader reads the response body of a watch and restarts the watch's silence timer. White space
// between documents restarts the timer, because it shows that the service is alive. After the first
// byte of a document, the whole document must arrive within the timeout and within the maximum size.
type documentReader struct {
	r          io.Reader
	timer      *time.Timer
	timeout    time.Duration
	inDocument bool // whether the first byte of a document has arrived
	size       int  // number of bytes that were read from the current document
}

// Read implements io.Reader. It restarts the timer when it reads bytes, unless earlier reads have
// already begun a document.
func (d *documentReader) Read(p []byte) (int, error) {
	n, err := d.r.Read(p)
	if n > 0 && !d.inDocument {
		d.timer.Reset(d.timeout)
		d.inDocument = len(bytes.TrimSpace(p[:n])) > 0
	}
	d.size += n
	if !d.inDocument {
		d.size = 0
	}
	if d.size > endpoints.MaxDocument {
		return n, ErrTooLarge
	}
	return n, err
}

// documentEnded restarts the timer after a complete document. The reader may already have read the
// beginning of the next document. The timeout of that document then starts at the next read.
func (d *documentReader) documentEnded() {
	d.timer.Reset(d.timeout)
	d.inDocument = false
	d.size = 0
}
