// Package discover follows the list of storage nodes of the platform's discovery. A
// watch is one call: it tells each list and each change as it comes, and its end once.
// When to ask again is not for it to say.
package discover

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"chalkstand/internal/targets"
)

// Options bound a watch.
type Options struct {
	Names   targets.Names
	Answer  time.Duration // until the answer's head is there
	Silence time.Duration // between lines
}

// Watch follows discovery at an address from a version on; below 0: from the whole list.
// tell is called from another goroutine for every document, and end once, unless the
// context ended before.
func Watch(ctx context.Context, addr string, since int64, o Options, tell func(targets.Document), end func(error)) {
	go func() {
		err := follow(ctx, addr, since, o, tell)
		if ctx.Err() == nil {
			end(err)
		}
	}()
}

// ErrSilent ends a watch on which nothing came for too long: its machine may be gone.
var ErrSilent = errors.New("the watch fell silent")

func follow(ctx context.Context, addr string, since int64, o Options, tell func(targets.Document)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	alarm := time.AfterFunc(o.Answer, func() { cancel(ErrSilent) })
	defer alarm.Stop()
	url := fmt.Sprintf("http://%s/api/targets?follow=1&since=%d", addr, since)
	if since < 0 {
		url = fmt.Sprintf("http://%s/api/targets?follow=1", addr)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	tr := &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: 16 << 10, ReadBufferSize: 4 << 10,
		WriteBufferSize: 1 << 10, DialContext: (&net.Dialer{Timeout: o.Answer}).DialContext}
	defer tr.CloseIdleConnections()
	r, err := tr.RoundTrip(req)
	if err != nil {
		return cause(ctx, err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answered %s", r.Status)
	}
	in := bufio.NewScanner(r.Body)
	in.Buffer(make([]byte, 0, 4<<10), targets.MaxDocument)
	for {
		alarm.Reset(o.Silence)
		if !in.Scan() {
			err := in.Err()
			if err == nil {
				err = errors.New("the watch ended")
			}
			return cause(ctx, err)
		}
		line := bytes.TrimSpace(in.Bytes())
		if len(line) == 0 {
			continue
		}
		d, err := targets.Parse(line, o.Names)
		if err != nil {
			return err
		}
		tell(d)
	}
}

func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}
