package faultinjection

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
)

// objectContent returns the content that the write with the tag stores. The content begins with the tag and a
// newline, and depends only on the tag and n. It is n bytes long, or longer if tag and newline need more.
func objectContent(tag string, n int) []byte {
	b := make([]byte, 0, n+len(tag)+1)
	b = append(b, tag...)
	b = append(b, '\n')
	for i := 0; len(b) < n; i++ {
		b = append(b, tag[i%len(tag)])
		b = strconv.AppendInt(b, int64(i*7919%1000), 10)
	}
	return b[:max(n, len(tag)+1)]
}

// checkWholeContent checks that a response with status 200 carries the whole content that one write stored. It
// returns a description of the error, or "". Responses with another status are not checked.
func checkWholeContent(status int, body []byte) string {
	if status != http.StatusOK {
		return ""
	}
	tag, _, ok := bytes.Cut(body, []byte("\n"))
	if !ok || !bytes.Equal(body, objectContent(string(tag), len(body))) {
		return fmt.Sprintf("%d bytes that no write has stored", len(body))
	}
	return ""
}
