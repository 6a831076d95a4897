package discovery

import (
	fakediscovery "chalkstand/fake/discovery"
	"chalkstand/internal/endpoints"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

const patience = 20 * time.Second

// watched is what one watch told of a scripted discovery, and how it ended.
func watched(t *testing.T, o Options, script func(c net.Conn)) (docs []endpoints.Document, err error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		c.Read(make([]byte, 4096)) // the call
		script(c)
	}()
	told, ended := make(chan endpoints.Document, 64), make(chan error, 1)
	Watch(t.Context(), ln.Addr().String(), -1, o, func(d endpoints.Document) { told <- d }, func(err error) { ended <- err })
	select {
	case err = <-ended:
	case <-time.After(patience):
		t.Fatal("the watch does not end")
	}
	for len(told) > 0 {
		docs = append(docs, <-told)
	}
	return docs, err
}

var usual = Options{ResponseTimeout: patience, SilenceTimeout: patience}

// head begins an answer that ends with its connection; chunk is a piece of one in chunks.
const (
	head        = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func list(version int) string {
	return fakediscovery.Document(version, true, fakediscovery.Endpoint{ID: "s1", Addr: "127.0.0.1:1", State: "Ready"}, fakediscovery.Endpoint{ID: "s2", Addr: "127.0.0.1:2", State: "Terminating", Cell: 1})
}

// indented puts white space wherever JSON allows it.
func indented(s string) string {
	return strings.NewReplacer("{", "{\r\n\t", ",", ",\n  ", ":[", ":\n[\n", "}", "\n}").Replace(s)
}

// However a list is laid out and cut into pieces, it is the same list.
func TestForms(t *testing.T) {
	for name, send := range map[string]func(c net.Conn){
		"a line each": func(c net.Conn) { fmt.Fprint(c, head, list(1), "\n\n", list(2), "\n", list(3), "\n") },
		"chunks": func(c net.Conn) {
			fmt.Fprint(c, chunkedHead, chunk(list(1)+"\n"), chunk("\n"), chunk(list(2)+list(3)+"\n"), chunk(""))
		},
		"chunks within": func(c net.Conn) {
			s := list(1) + "\n" + list(2) + list(3)
			fmt.Fprint(c, chunkedHead, chunk(s[:70]), chunk(s[70:]), chunk(""))
		},
		"indented":        func(c net.Conn) { fmt.Fprint(c, head, indented(list(1)), "\r\n", indented(list(2)), indented(list(3))) },
		"a byte a piece":  func(c net.Conn) { bytewise(c, head+indented(list(1))+"\n"+list(2)+"\n"+list(3)) },
		"no space at all": func(c net.Conn) { fmt.Fprint(c, head, list(1), list(2), list(3)) },
	} {
		t.Run(name, func(t *testing.T) {
			docs, err := watched(t, usual, send)
			if len(docs) != 3 || err == nil {
				t.Fatalf("%d documents (%v), want 3 and an end", len(docs), err)
			}
			for i, d := range docs {
				if d.Version != int64(i+1) || !d.Snapshot || len(d.Nodes) != 2 || d.Nodes[1].Shard != 1 {
					t.Errorf("document %d: %+v", i, d)
				}
			}
		})
	}
}

func bytewise(c net.Conn, s string) {
	c.(*net.TCPConn).SetNoDelay(true)
	for i := range len(s) {
		c.Write([]byte{s[i]})
	}
}

// A list of which a part has come, whatever ends it, is not told; what came whole before it is.
func TestPartsAreNoList(t *testing.T) {
	for name, end := range map[string]func(c net.Conn){
		"an end":            func(c net.Conn) {},
		"a reset":           func(c net.Conn) { c.(*net.TCPConn).SetLinger(0) },
		"noise":             func(c net.Conn) { fmt.Fprint(c, "\x00\n") },
		"another beginning": func(c net.Conn) { fmt.Fprint(c, list(3)) },
	} {
		t.Run(name, func(t *testing.T) {
			second := list(2)
			docs, err := watched(t, usual, func(c net.Conn) {
				fmt.Fprint(c, head, list(1), "\n", second[:len(second)-2])
				end(c)
			})
			if err == nil || len(docs) > 1 || len(docs) == 1 && docs[0].Version != 1 {
				t.Errorf("%+v, %v", docs, err)
			}
		})
	}
}

// What is no list ends the watch: bad JSON, another document, a list without end, a refusal.
func TestBadDocuments(t *testing.T) {
	for name, send := range map[string]func(c net.Conn){
		"no JSON":  func(c net.Conn) { fmt.Fprint(c, head, "{bad\n") },
		"a number": func(c net.Conn) { fmt.Fprint(c, head, "17\n") },
		"no state": func(c net.Conn) { fmt.Fprint(c, head, strings.Replace(list(1), "Ready", "Steady", 1), "\n") },
		"endless": func(c net.Conn) {
			fmt.Fprint(c, head, `{"version":1,"x":"`)
			for range endpoints.MaxDocument/(64<<10) + 2 {
				c.Write([]byte(strings.Repeat("x", 64<<10)))
			}
		},
		"503":     func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n") },
		"nothing": func(c net.Conn) {},
		"no HTTP": func(c net.Conn) { fmt.Fprint(c, "\x00\x01\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			if docs, err := watched(t, usual, send); len(docs) > 0 || err == nil {
				t.Errorf("%+v, %v", docs, err)
			}
		})
	}
}

// A watch that falls silent is broken, wherever it does so. Empty lines keep it up; the pieces of a
// document that never ends do not.
func TestSilence(t *testing.T) {
	short := Options{ResponseTimeout: 50 * time.Millisecond, SilenceTimeout: 50 * time.Millisecond}
	for name, begin := range map[string]string{
		"before the head": "", "before the list": head, "after the list": head + list(1) + "\n",
		"within a list": head + list(1)[:40], "after an empty line": head + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := watched(t, short, func(c net.Conn) {
				fmt.Fprint(c, begin)
				c.Read(make([]byte, 1)) // until the watch closes it
			})
			if !errors.Is(err, ErrSilent) {
				t.Errorf("it ends with %v", err)
			}
		})
	}
	t.Run("a list without end", func(t *testing.T) {
		_, err := watched(t, short, func(c net.Conn) {
			fmt.Fprint(c, head, `{"version":1,"x":"`)
			for err := error(nil); err == nil; _, err = c.Write([]byte("x")) {
				time.Sleep(time.Millisecond) // the rate of what comes, not an order of events
			}
		})
		if !errors.Is(err, ErrSilent) {
			t.Errorf("it ends with %v", err)
		}
	})
}

// A watch whose context has ended says nothing more.
func TestEndedByUs(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	Watch(ctx, "127.0.0.1:1", 1, usual, func(endpoints.Document) { t.Error("told") }, func(error) { t.Error("its end was told") })
}
