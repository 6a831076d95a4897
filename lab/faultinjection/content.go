package faultinjection

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
)

// objectContent returns n bytes that are determined by the tag of the write that stores them, or a few more
// if the tag is longer. They begin with the tag and a newline.
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

// checkWholeContent returns what is wrong with an object that must be as one write stored it, or "".
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
