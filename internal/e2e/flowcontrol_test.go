package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	kit "chalkstand/internal/testkit"
)

// TestSlowReaderIsNotBuffered checks that the gateway buffers only a small part of a large response while the client
// does not read.
func TestSlowReaderIsNotBuffered(t *testing.T) {
	const (
		readFirst   = 1000
		maxBuffered = 64 << 10
	)
	site := kit.Start(t, kit.Settings(1), nil)
	want := kit.RandomBytes(2, 32<<20)
	createBucket(t, site, "photos").put(t, "k", want)
	resp := site.OpenStream("/photos/k")
	if _, err := io.ReadFull(resp.Body, make([]byte, readFirst)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "bytes are buffered", func() bool { return site.Gateway.BufferedBytes() > 0 })
	for range 50 {
		if n := site.Gateway.BufferedBytes(); n > maxBuffered {
			t.Fatalf("bytes buffered for one stream: got %d, want at most 64 KiB", n)
		}
		time.Sleep(time.Millisecond)
	}
	kit.CheckEqual(t, "rest of the object", kit.ReadAll(t, resp.Body), want[readFirst:])
}

// TestMoreStreamsThanLimit opens more responses than the gateway may stream at once. It checks that the gateway
// forwards all of them whole, and that it serves a small request in the meantime.
func TestMoreStreamsThanLimit(t *testing.T) {
	s := kit.Settings(1)
	s.Limits.ConnsPerNode = 12
	s.Limits.Streams = 2
	site := kit.Start(t, s, nil)
	want := kit.RandomBytes(2, 12<<20)
	createBucket(t, site, "photos").put(t, "k", want)
	var unread []kit.Stream
	for range 5 {
		resp := site.OpenStream("/photos/k")
		if resp.Status != http.StatusOK {
			t.Fatalf("GET /photos/k: got status %d, want 200", resp.Status)
		}
		unread = append(unread, resp)
	}
	resp := site.Do(http.MethodPut, "/photos/small", nil, strings.NewReader("x"))
	checkStatus(t, "PUT beside streams", resp, http.StatusOK)
	for _, stream := range unread {
		kit.CheckEqual(t, "streamed object", kit.ReadAll(t, stream.Body), want)
	}
}

// TestUnreadPipelineIsNotBuffered checks that the gateway buffers only one response at a time for a client that
// pipelines requests and does not read the responses.
func TestUnreadPipelineIsNotBuffered(t *testing.T) {
	const (
		requests    = 300       // the responses total 18 MB, which is more than the sockets buffer
		maxBuffered = 192 << 10 // bytes; one response, the requests read ahead, and one read from the node
		timeout     = 20 * time.Second
	)
	site := kit.Start(t, kit.Settings(1), nil)
	createBucket(t, site, "photos")
	body := kit.RandomBytes(1, 60_000)
	site.Do(http.MethodPut, "/photos/k", nil, bytes.NewReader(body))
	request := requestText(t, site, http.MethodGet, "/photos/k", nil)
	c := site.Dial()
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	sent := make(chan error, 1)
	go func() {
		_, err := c.Write(bytes.Repeat(request, requests))
		sent <- err
	}()
	highest := 0
	waitFor(t, "bytes are buffered", func() bool {
		highest = max(highest, site.Gateway.BufferedBytes())
		return highest > 0
	})
	for range 200 {
		highest = max(highest, site.Gateway.BufferedBytes())
		time.Sleep(time.Millisecond)
	}
	if highest > maxBuffered {
		t.Errorf("highest number of buffered bytes: got %d, want at most %d", highest, maxBuffered)
	}
	r := bufio.NewReader(c)
	for i := range requests {
		kit.CheckEqual(t, fmt.Sprint("response ", i), kit.ReadResponse(t, r).Body, body)
	}
	if err := <-sent; err != nil {
		t.Error(err)
	}
}
