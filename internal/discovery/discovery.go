// Package discovery follows the list of storage nodes of the platform's discovery. A
// watch is one call: it tells each list and each change as it comes, and its end once.
// When to ask again is not for it to say.
package discovery

import (
	"bytes"
	"chalkstand/internal/endpoints"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Options bound a watch.
type Options struct {
	Names           endpoints.Names
	ResponseTimeout time.Duration // until the answer's head is there
	SilenceTimeout  time.Duration // without a byte, or from a document's first to its last
}

// Watch follows discovery at an address from a version on; below 0: from the whole list.
// tell is called from another goroutine for every document, and end once, unless the
// context ended before.
func Watch(ctx context.Context, addr string, since int64, o Options, tell func(endpoints.Document), end func(error)) {
	go func() {
		err := follow(ctx, addr, since, o, tell)
		if ctx.Err() == nil {
			end(err)
		}
	}()
}

// ErrSilent ends a watch on which nothing came for too long: its machine may be gone.
var ErrSilent = errors.New("the watch fell silent")

func follow(ctx context.Context, addr string, since int64, o Options, tell func(endpoints.Document)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	alarm := time.AfterFunc(o.ResponseTimeout, func() { cancel(ErrSilent) })
	defer alarm.Stop()
	url := fmt.Sprintf("http://%s/api/targets?follow=1&since=%d", addr, since)
	if since < 0 {
		url = fmt.Sprintf("http://%s/api/targets?follow=1", addr)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	tr := &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: 16 << 10, ReadBufferSize: 4 << 10,
		WriteBufferSize: 1 << 10, DialContext: (&net.Dialer{Timeout: o.ResponseTimeout}).DialContext,
	}
	defer tr.CloseIdleConnections()
	r, err := tr.RoundTrip(req)
	if err != nil {
		return cause(ctx, err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answered %s", r.Status)
	}
	in := &body{r: r.Body, alarm: alarm, silence: o.SilenceTimeout}
	docs := json.NewDecoder(in) // a document may come on many lines
	for alarm.Reset(o.SilenceTimeout); ; {
		var text json.RawMessage
		if err := docs.Decode(&text); err != nil {
			if errors.Is(err, io.EOF) {
				err = errors.New("the watch ended")
			}
			return cause(ctx, err)
		}
		in.ended()
		d, err := endpoints.Parse(text, o.Names)
		if err != nil {
			return err
		}
		tell(d)
	}
}

// body is what a watch reads. White space between documents shows that the watch stands; a document
// that has begun has to end in the same time, and within its bound on size.
type body struct {
	r       io.Reader
	alarm   *time.Timer
	silence time.Duration
	within  bool // a document has begun
	size    int  // bytes since the last document
}

// Read reads, and puts the alarm off where nothing but white space has come since the last document.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if n > 0 && !b.within {
		b.alarm.Reset(b.silence)
		b.within = len(bytes.TrimSpace(p[:n])) > 0
	}
	if b.size += n; !b.within {
		b.size = 0
	}
	if b.size > endpoints.MaxDocument {
		return n, fmt.Errorf("discovery: a document of over %d bytes", endpoints.MaxDocument)
	}
	return n, err
}

// ended notes that a document is whole. What was read behind it may be the beginning of another,
// whose time counts from the next read.
func (b *body) ended() {
	b.alarm.Reset(b.silence)
	b.within, b.size = false, 0
}

func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}
