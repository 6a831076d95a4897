package discovery

import (
	"bytes"
	"io"
	"time"

	"chalkstand/internal/endpoints"
)

// documentReader reads a watch's stream of documents and restarts its silence timer. White space
// between documents shows that the service is there; a document that has begun has to end within
// the timeout, and within the bound on its size.
type documentReader struct {
	r          io.Reader
	timer      *time.Timer
	timeout    time.Duration
	inDocument bool // a document has begun
	size       int  // bytes since the last document ended
}

// Read implements io.Reader. It restarts the timer where nothing but white space has come since
// the last document.
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

// documentEnded is called when a document is whole. Bytes that were read after it may be the
// beginning of the next one, whose time counts from the next read.
func (d *documentReader) documentEnded() {
	d.timer.Reset(d.timeout)
	d.inDocument = false
	d.size = 0
}
