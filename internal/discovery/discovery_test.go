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

// watchScript runs one watch of a service that executes script on its connection. It returns the
// documents that the watch delivered and the error with which the watch ended.
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
	t.Cleanup(func() { // the test's context has ended before, which has ended the watch
		_ = ln.Close() // closing the listener ends a pending call of Accept
		<-served
	})
	delivered, ended := make(chan endpoints.Document, 64), make(chan error, 1)
	onDocument := func(d endpoints.Document) { delivered <- d }
	Watch(t.Context(), ln.Addr().String(), -1, o, onDocument, func(err error) { ended <- err })
	select {
	case err = <-ended:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for the end of the watch")
	}
	for len(delivered) > 0 {
		docs = append(docs, <-delivered)
	}
	return docs, err
}

// serveOnce accepts one connection, reads the HTTP request and runs the script. The script's connection
// may fail at any point, because the watch closes it when the watch ends.
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

// send writes text to a script's connection. It ignores errors, because the watch may have closed the
// connection and the tests check only the result of the watch.
func send(c net.Conn, text ...string) { _, _ = c.Write([]byte(strings.Join(text, ""))) }

var defaultOptions = Options{ResponseTimeout: testTimeout, SilenceTimeout: testTimeout}

// head begins a response whose body ends when the connection closes. chunkedHead begins a response with
// a chunked body.
const (
	head        = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// chunk returns one chunk of a chunked body.
func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// list returns a snapshot document with two nodes.
func list(version int) string {
	return fakediscovery.Document(version, true,
		fakediscovery.Endpoint{ID: "s1", Addr: "127.0.0.1:1", State: "Ready"},
		fakediscovery.Endpoint{ID: "s2", Addr: "127.0.0.1:2", State: "Terminating", Shard: 1})
}

// indented returns a document with line breaks and indentation between its JSON tokens.
func indented(s string) string {
	return strings.NewReplacer("{", "{\r\n\t", ",", ",\n  ", ":[", ":\n[\n", "}", "\n}").Replace(s)
}

// A watch delivers the same documents for each JSON layout and each division of the stream into pieces.
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
				t.Fatalf("got %d documents and error %v, want 3 and ErrEnded", len(docs), err)
			}
			for i, d := range docs {
				if d.Version != int64(i+1) || !d.Snapshot || len(d.Nodes) != 2 || d.Nodes[1].Shard != 1 {
					t.Errorf("document %d: got %+v, want the snapshot of that version with two nodes", i, d)
				}
			}
		})
	}
}

// sendBytewise sends each byte in a separate TCP segment.
func sendBytewise(c net.Conn, s string) {
	_ = c.(*net.TCPConn).SetNoDelay(true)
	for i := range len(s) {
		send(c, s[i:i+1])
	}
}

// A watch never delivers an incomplete document, no matter how the stream ends. It may deliver the
// complete document before it.
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
				t.Errorf("got documents %+v and error %v, want an error and at most version 1", docs, err)
			}
		})
	}
}

// A response that is not a stream of endpoint lists ends the watch, and the watch delivers no document.
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
				t.Errorf("got documents %+v and error %v, want no document and an error", docs, err)
			}
		})
	}
}

const serviceUnavailable = "HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n"

// sendEndlessDocument sends the beginning of a document with more bytes than a document may have.
func sendEndlessDocument(c net.Conn) {
	const piece = 64 << 10
	send(c, head, `{"version":1,"x":"`)
	for range endpoints.MaxDocument/piece + 2 {
		send(c, strings.Repeat("x", piece))
	}
}

// A watch reports different errors for different reasons of its end.
func TestEndReasons(t *testing.T) {
	if _, err := watchScript(t, defaultOptions, sendEndlessDocument); !errors.Is(err, ErrTooLarge) {
		t.Errorf("endless document: got error %v, want ErrTooLarge", err)
	}
	_, err := watchScript(t, defaultOptions, func(c net.Conn) { send(c, serviceUnavailable) })
	if status := (*StatusError)(nil); !errors.As(err, &status) || status.Status != "503 Later" {
		t.Errorf("response 503: got error %v, want a StatusError with 503 Later", err)
	}
}

// A watch ends with ErrWatchTimeout after SilenceTimeout without data, no matter which data it received
// before. It also ends with ErrWatchTimeout if a document takes longer than SilenceTimeout to arrive.
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
				_, _ = c.Read(make([]byte, 1)) // waits until the watch closes the connection
			})
			if !errors.Is(err, ErrWatchTimeout) {
				t.Errorf("got error %v, want ErrWatchTimeout", err)
			}
		})
	}
	t.Run("a list without end", func(t *testing.T) {
		_, err := watchScript(t, short, func(c net.Conn) {
			send(c, head, `{"version":1,"x":"`)
			for err := error(nil); err == nil; _, err = c.Write([]byte("x")) {
				time.Sleep(time.Millisecond) // sets the rate of the bytes; the test needs no exact timing
			}
		})
		if !errors.Is(err, ErrWatchTimeout) {
			t.Errorf("got error %v, want ErrWatchTimeout", err)
		}
	})
}

// A watch whose context has ended calls neither onDocument nor onEnd.
func TestCanceledWatch(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	Watch(ctx, "127.0.0.1:1", 1, defaultOptions,
		func(endpoints.Document) { t.Error("a canceled watch delivered a document, want none") },
		func(error) { t.Error("a canceled watch called onEnd, want no call") })
}
