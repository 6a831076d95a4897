// Package discovery watches the list of storage nodes that the platform's discovery service
// publishes. A watch is one HTTP call: it passes on each document as it comes and reports its end
// once. When to open the next one is the caller's to decide.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"chalkstand/internal/endpoints"
)

// Buffers and bounds of a watch's HTTP call, in bytes. Documents are small and rare, and there
// is one watch at a time.
const (
	maxHeaderBytes  = 16 << 10
	readBufferSize  = 4 << 10
	writeBufferSize = 1 << 10
)

// Reasons of a watch's end. A watch may end with other errors, too: of the network, or of a
// document that cannot be parsed.
var (
	// ErrSilent means that nothing came for too long: the service's machine may have failed.
	ErrSilent = errors.New("the watch fell silent")
	// ErrEnded means that the service ended the watch in order.
	ErrEnded = errors.New("the watch ended")
	// ErrTooLarge means that a document has more than endpoints.MaxDocument bytes.
	ErrTooLarge = fmt.Errorf("discovery: a document of over %d bytes", endpoints.MaxDocument)
)

// StatusError means that the service responded with another status than 200.
type StatusError struct {
	Status string // code and reason phrase
}

func (e *StatusError) Error() string { return "discovery answered " + e.Status }

// Options are the settings of a watch.
type Options struct {
	Names           endpoints.Names
	ResponseTimeout time.Duration // until the response's headers are there
	SilenceTimeout  time.Duration // without a byte, or from a document's first to its last
}

// Watch watches the service at addr from a version on; below 0, from a snapshot on. It returns
// at once. On a goroutine of the watch, onDocument is called for each document, and then onEnd
// once with the reason, unless ctx has ended: that ends the watch and its goroutine silently. The
// channel that it returns is closed when the goroutine has ended.
func Watch(
	ctx context.Context, addr string, since int64, o Options,
	onDocument func(endpoints.Document), onEnd func(error),
) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		err := run(ctx, addr, since, o, onDocument)
		if ctx.Err() == nil {
			onEnd(err)
		}
	}()
	return ended
}

// run makes the call and reads documents until the watch ends. The error is never nil.
func run(ctx context.Context, addr string, since int64, o Options, onDocument func(endpoints.Document)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(o.ResponseTimeout, func() { cancel(ErrSilent) })
	defer silence.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, watchURL(addr, since), nil)
	if err != nil {
		return err
	}
	transport := newTransport(o)
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return causeOf(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }() // the call is over, whatever it returns
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.Status}
	}
	silence.Reset(o.SilenceTimeout)
	body := &documentReader{r: resp.Body, timer: silence, timeout: o.SilenceTimeout}
	return readDocuments(ctx, body, o.Names, onDocument)
}

// watchURL returns the URL of a watch.
func watchURL(addr string, since int64) string {
	if since < 0 {
		return fmt.Sprintf("http://%s/api/targets?follow=1", addr)
	}
	return fmt.Sprintf("http://%s/api/targets?follow=1&since=%d", addr, since)
}

// newTransport returns a transport for a single call.
func newTransport(o Options) *http.Transport {
	return &http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         readBufferSize,
		WriteBufferSize:        writeBufferSize,
		DialContext:            (&net.Dialer{Timeout: o.ResponseTimeout}).DialContext,
	}
}

// readDocuments passes on documents until there is an error, which it returns. A document may
// span any number of lines.
func readDocuments(
	ctx context.Context, body *documentReader, names endpoints.Names, onDocument func(endpoints.Document),
) error {
	decoder := json.NewDecoder(body)
	for {
		var text json.RawMessage
		err := decoder.Decode(&text)
		if errors.Is(err, io.EOF) {
			err = ErrEnded
		}
		if err != nil {
			return causeOf(ctx, err)
		}
		body.documentEnded()
		d, err := endpoints.Parse(text, names)
		if err != nil {
			return err
		}
		onDocument(d)
	}
}

// causeOf returns why ctx has ended, or err if it has not.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
