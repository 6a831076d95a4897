package discovery

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	fakediscovery "chalkstand/fake/discovery"
	"chalkstand/internal/endpoints"
)

const testTimeout = 20 * time.Second

// watchScript runs one watch of a scripted service. It returns the documents that were passed on,
// and the error with which the watch ended.
func watchScript(t *testing.T, o Options, script func(c net.Conn)) (docs []endpoints.Document, err error) {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		serveOnce(ln, script)
	}()
	t.Cleanup(func() { // when the test's context has ended, and the watch with it
		_ = ln.Close() // ends an Accept that still waits
		<-served
	})
	passedOn, ended := make(chan endpoints.Document, 64), make(chan error, 1)
	onDocument := func(d endpoints.Document) { passedOn <- d }
	Watch(t.Context(), ln.Addr().String(), -1, o, onDocument, func(err error) { ended <- err })
	select {
	case err = <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the watch does not end")
	}
	for len(passedOn) > 0 {
		docs = append(docs, <-passedOn)
	}
	return docs, err
}

// serveOnce accepts one connection, reads the call and runs the script. A script's connection may
// fail at any point, as the watch closes it when it ends.
func serveOnce(ln net.Listener, script func(c net.Conn)) {
	c, err := ln.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Read(make([]byte, 4096)); err == nil {
		script(c)
	}
}

// send writes text to a script's connection. The watch may have closed it, which is no error here:
// the watch's own result is what is checked.
func send(c net.Conn, text ...string) { _, _ = c.Write([]byte(strings.Join(text, ""))) }

var defaultOptions = Options{ResponseTimeout: testTimeout, SilenceTimeout: testTimeout}

// Heads of a response whose body ends with its connection, and of one in chunks.
const (
	head        = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// chunk returns one chunk of a chunked body.
func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// list returns a snapshot with two nodes.
func list(version int) string {
	return fakediscovery.Document(version, true,
		fakediscovery.Endpoint{ID: "s1", Addr: "127.0.0.1:1", State: "Ready"},
		fakediscovery.Endpoint{ID: "s2", Addr: "127.0.0.1:2", State: "Terminating", Cell: 1})
}

// indented returns a document with white space wherever JSON allows it.
func indented(s string) string {
	return strings.NewReplacer("{", "{\r\n\t", ",", ",\n  ", ":[", ":\n[\n", "}", "\n}").Replace(s)
}

// The layout of documents and the pieces in which they come make no difference.
func TestDocumentLayouts(t *testing.T) {
	for name, script := range map[string]func(c net.Conn){
		"one per line": func(c net.Conn) { send(c, head, list(1), "\n\n", list(2), "\n", list(3), "\n") },
		"chunks": func(c net.Conn) {
			send(c, chunkedHead, chunk(list(1)+"\n"), chunk("\n"), chunk(list(2)+list(3)+"\n"), chunk(""))
		},
		"across chunks": func(c net.Conn) {
			s := list(1) + "\n" + list(2) + list(3)
			send(c, chunkedHead, chunk(s[:70]), chunk(s[70:]), chunk(""))
		},
		"indented":       func(c net.Conn) { send(c, head, indented(list(1)), "\r\n", indented(list(2)), indented(list(3))) },
		"byte by byte":   func(c net.Conn) { sendBytewise(c, head+indented(list(1))+"\n"+list(2)+"\n"+list(3)) },
		"no white space": func(c net.Conn) { send(c, head, list(1), list(2), list(3)) },
	} {
		t.Run(name, func(t *testing.T) {
			docs, err := watchScript(t, defaultOptions, script)
			if len(docs) != 3 || !errors.Is(err, ErrEnded) {
				t.Fatalf("%d documents (%v), want 3 and an end in order", len(docs), err)
			}
			for i, d := range docs {
				if d.Version != int64(i+1) || !d.Snapshot || len(d.Nodes) != 2 || d.Nodes[1].Shard != 1 {
					t.Errorf("document %d: %+v", i, d)
				}
			}
		})
	}
}

// sendBytewise sends each byte in a segment of its own.
func sendBytewise(c net.Conn, s string) {
	_ = c.(*net.TCPConn).SetNoDelay(true)
	for i := range len(s) {
		send(c, s[i:i+1])
	}
}

// An incomplete document is not passed on, whatever ends it; the whole one before it may be.
func TestIncompleteDocuments(t *testing.T) {
	for name, end := range map[string]func(c net.Conn){
		"end of file":      func(net.Conn) {},
		"reset":            func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) },
		"noise":            func(c net.Conn) { send(c, "\x00\n") },
		"another document": func(c net.Conn) { send(c, list(3)) },
	} {
		t.Run(name, func(t *testing.T) {
			second := list(2)
			docs, err := watchScript(t, defaultOptions, func(c net.Conn) {
				send(c, head, list(1), "\n", second[:len(second)-2])
				end(c)
			})
			if err == nil || len(docs) > 1 || len(docs) == 1 && docs[0].Version != 1 {
				t.Errorf("%+v, %v", docs, err)
			}
		})
	}
}

// A response that is not a stream of lists ends the watch, and nothing of it is passed on.
func TestBadResponses(t *testing.T) {
	for name, script := range map[string]func(c net.Conn){
		"no JSON":       func(c net.Conn) { send(c, head, "{bad\n") },
		"number":        func(c net.Conn) { send(c, head, "17\n") },
		"unknown state": func(c net.Conn) { send(c, head, strings.Replace(list(1), "Ready", "Steady", 1), "\n") },
		"endless":       sendEndlessDocument,
		"503":           func(c net.Conn) { send(c, serviceUnavailable) },
		"empty":         func(net.Conn) {},
		"no HTTP":       func(c net.Conn) { send(c, "\x00\x01\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			if docs, err := watchScript(t, defaultOptions, script); len(docs) > 0 || err == nil {
				t.Errorf("%+v, %v", docs, err)
			}
		})
	}
}

const serviceUnavailable = "HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n"

// sendEndlessDocument sends the beginning of a document, up to more than its bound.
func sendEndlessDocument(c net.Conn) {
	const piece = 64 << 10
	send(c, head, `{"version":1,"x":"`)
	for range endpoints.MaxDocument/piece + 2 {
		send(c, strings.Repeat("x", piece))
	}
}

// The reasons of a watch's end can be told apart.
func TestReasons(t *testing.T) {
	if _, err := watchScript(t, defaultOptions, sendEndlessDocument); !errors.Is(err, ErrTooLarge) {
		t.Errorf("endless document: %v", err)
	}
	_, err := watchScript(t, defaultOptions, func(c net.Conn) { send(c, serviceUnavailable) })
	if status := (*StatusError)(nil); !errors.As(err, &status) || status.Status != "503 Later" {
		t.Errorf("503: %v", err)
	}
}

// A silent watch ends, whatever came before. Empty lines keep it up; the pieces of a document that
// never ends do not.
func TestSilence(t *testing.T) {
	short := Options{ResponseTimeout: 50 * time.Millisecond, SilenceTimeout: 50 * time.Millisecond}
	for name, begin := range map[string]string{
		"before the head":     "",
		"before the list":     head,
		"after the list":      head + list(1) + "\n",
		"within a list":       head + list(1)[:40],
		"after an empty line": head + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := watchScript(t, short, func(c net.Conn) {
				send(c, begin)
				_, _ = c.Read(make([]byte, 1)) // until the watch closes the connection
			})
			if !errors.Is(err, ErrSilent) {
				t.Errorf("it ends with %v", err)
			}
		})
	}
	t.Run("a list without end", func(t *testing.T) {
		_, err := watchScript(t, short, func(c net.Conn) {
			send(c, head, `{"version":1,"x":"`)
			for err := error(nil); err == nil; _, err = c.Write([]byte("x")) {
				time.Sleep(time.Millisecond) // the rate of what comes, not an order of events
			}
		})
		if !errors.Is(err, ErrSilent) {
			t.Errorf("it ends with %v", err)
		}
	})
}

// A watch whose context has ended reports nothing.
func TestCanceledWatch(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	Watch(ctx, "127.0.0.1:1", 1, defaultOptions,
		func(endpoints.Document) { t.Error("a document was passed on") },
		func(error) { t.Error("its end was reported") })
}
