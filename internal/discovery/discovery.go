// Package discovery watches the list of storage nodes that the platform's discovery service
// publishes. A watch is one HTTP call. It passes each document to its caller as soon as the document
// arrives, and it reports its own end once. The caller decides when to open the next watch.
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

// These constants set the buffer sizes and the header limit of a watch's HTTP call, in bytes. Small
// values suffice, because documents are small and rare and there is one watch at a time.
const (
	maxHeaderBytes  = 16 << 10
	readBufferSize  = 4 << 10
	writeBufferSize = 1 << 10
)

// A watch ends with one of these errors, with a network error, or with the error for a document that
// cannot be parsed.
var (
	// ErrWatchTimeout means that the watch received no data for too long. The service's machine may
	// have failed.
	ErrWatchTimeout = errors.New("discovery: the watch received no data in time")
	// ErrEnded means that the service ended the response to the watch with an end of file.
	ErrEnded = errors.New("discovery: the service ended the watch")
	// ErrTooLarge means that a document has more than endpoints.MaxDocument bytes.
	ErrTooLarge = fmt.Errorf("discovery: a document must have at most %d bytes", endpoints.MaxDocument)
)

// StatusError means that the service responded with a status other than 200.
type StatusError struct {
	Status string // status code and reason phrase of the response
}

func (e *StatusError) Error() string { return "discovery: expected status 200, got " + e.Status }

// Options holds the settings of a watch.
type Options struct {
	Names           endpoints.Names
	ResponseTimeout time.Duration // maximum time until the response headers arrive
	SilenceTimeout  time.Duration // maximum time without a byte, and from the first byte of a document to its last
}

// Watch opens a watch of the service at addr and returns at once. The watch starts at version since,
// or with a snapshot if since is below 0. On its own goroutine, the watch calls onDocument for each
// document and then onEnd once with the reason for its end. When ctx ends, the watch and its goroutine
// end without a call of onEnd. Watch returns a channel that is closed when the goroutine has ended.
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

// run makes the HTTP call and reads documents until the watch ends. It returns the reason for the end,
// which is never nil.
func run(ctx context.Context, addr string, since int64, o Options, onDocument func(endpoints.Document)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(o.ResponseTimeout, func() { cancel(ErrWatchTimeout) })
	defer silenceTimer.Stop()
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
	defer func() { _ = resp.Body.Close() }() // an error does not matter after the end of the call
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.Status}
	}
	silenceTimer.Reset(o.SilenceTimeout)
	body := &documentReader{r: resp.Body, timer: silenceTimer, timeout: o.SilenceTimeout}
	return readDocuments(ctx, body, o.Names, onDocument)
}

// watchURL returns the URL of a watch that starts at version since, or with a snapshot if since is
// below 0.
func watchURL(addr string, since int64) string {
	if since < 0 {
		return fmt.Sprintf("http://%s/api/targets?follow=1", addr)
	}
	return fmt.Sprintf("http://%s/api/targets?follow=1&since=%d", addr, since)
}

// newTransport returns an HTTP transport for a single call.
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

// readDocuments passes documents to onDocument until an error occurs, and returns the error. A document
// may span any number of lines.
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

// causeOf returns the cause of the end of ctx, or err if ctx has not ended.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
