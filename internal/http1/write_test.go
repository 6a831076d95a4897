package http1

import (
	"testing"
)

func TestAppend(t *testing.T) {
	b := AppendStatus(nil, 206)
	b = AppendHeader(b, "X", "a\r\nSmuggled: yes\x00")
	b = AppendLength(b, 42)
	if string(b) != "HTTP/1.1 206 Partial Content\r\nX: a  Smuggled: yes \r\nContent-Length: 42\r\n" {
		t.Fatalf("encoded head: got %q, want the CR, LF and NUL in the value of X replaced by spaces", b)
	}
	chunks := append(AppendChunk(AppendChunk(nil, []byte("hello")), nil), LastChunk...)
	if body, _, done, err := decode(chunks, 3); string(body) != "hello" || !done || err != nil {
		t.Fatalf("decoding the encoded chunks: got body %q, error %v, want the complete body \"hello\"", body, err)
	}
}
