package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	"chalkstand/lab/sigv4client"
)

// silentNode is a stand-in for a storage node of `serve`. If it is silent, it takes requests and answers none.
func silentNode(t *trial, name string, silent bool) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		t.note("%s received %s %s with %d bytes", name, r.Method, r.URL.Path, n)
		if silent {
			<-r.Context().Done()
			t.note("%s: the gateway has closed the connection of %s", name, r.URL.Path)
			return
		}
		w.Header().Set("ETag", `"1"`)
	})
	go func() { _ = http.Serve(ln, handler) }()
	return ln.Addr().String(), nil
}

// put sends an object and returns when its last byte was written, the status, and when the answer began.
func (t *trial) put(addr, key string, size int, patience time.Duration) (written time.Time, status int, answered time.Time, err error) {
	body := bytes.Repeat([]byte("x"), size)
	r, err := http.NewRequest(http.MethodPut, "http://"+addr+"/"+bucket+"/"+key, bytes.NewReader(body))
	if err != nil {
		return
	}
	sigv4client.Request(r, keyID, keySecret, time.Now())
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if err = r.Write(conn); err != nil {
		return
	}
	written = time.Now()
	t.noteAt(written, "client has written the last byte of PUT %s", key)
	_ = conn.SetReadDeadline(written.Add(patience))
	in := bufio.NewReader(conn)
	if _, err = in.Peek(1); err != nil {
		return
	}
	answered = time.Now()
	resp, err := http.ReadResponse(in, r)
	if err != nil {
		return
	}
	t.noteAt(answered, "client: PUT %s answered with %d, %.3f s after its last byte", key, resp.StatusCode, answered.Sub(written).Seconds())
	return written, resp.StatusCode, answered, resp.Body.Close()
}
