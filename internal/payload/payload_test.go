package payload

import (
	"bytes"
	"chalkstand/internal/http1"
	"chalkstand/internal/sigv4"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"hash/crc32"
	"strings"
	"testing"
	"time"
)

const (
	secret = "a-secret-of-tests"
	day    = "20261201"
	stamp  = "20261201T120000Z"
	scope  = day + "/us-east-1/s3/aws4_request"
)

func mac(key []byte, s string) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(s))
	return m.Sum(nil)
}

func key() []byte {
	return mac(mac(mac(mac([]byte("AWS4"+secret), day), "us-east-1"), "s3"), "aws4_request")
}

func hexsum(b string) string { s := sha256.Sum256([]byte(b)); return hex.EncodeToString(s[:]) }

// signed makes a request in the streaming form, written here anew from the
// specification: its head, its authorization, and its body.
func signed(t *testing.T, form string, chunks []string, trailer string) (*http1.Request, *sigv4.Auth, string) {
	t.Helper()
	total := 0
	for _, c := range chunks {
		total += len(c)
	}
	names := "host;x-amz-content-sha256;x-amz-date;x-amz-decoded-content-length"
	values := fmt.Sprintf("host:h\nx-amz-content-sha256:%s\nx-amz-date:%s\nx-amz-decoded-content-length:%d\n", form, stamp, total)
	extra := ""
	if trailer != "" {
		names += ";x-amz-trailer"
		values += "x-amz-trailer:x-amz-checksum-crc32\n"
		extra = "x-amz-trailer: x-amz-checksum-crc32\r\n"
	}
	canonical := "PUT\n/b/k\n\n" + values + "\n" + names + "\n" + form
	sign := func(kind string, lines ...string) string {
		return hex.EncodeToString(mac(key(), kind+"\n"+stamp+"\n"+scope+"\n"+strings.Join(lines, "\n")))
	}
	sig := sign("AWS4-HMAC-SHA256", hexsum(canonical))
	var body strings.Builder
	last := sig
	for _, c := range append(chunks, "") {
		ext := ""
		if !strings.Contains(form, "UNSIGNED") {
			last = sign("AWS4-HMAC-SHA256-PAYLOAD", last, hexsum(""), hexsum(c))
			ext = ";chunk-signature=" + last
		}
		if c == "" {
			fmt.Fprintf(&body, "0%s\r\n", ext)
		} else {
			fmt.Fprintf(&body, "%x%s\r\n%s\r\n", len(c), ext, c)
		}
	}
	if trailer != "" {
		fmt.Fprintf(&body, "x-amz-checksum-crc32:%s\r\n", trailer)
		if strings.HasSuffix(form, "PAYLOAD-TRAILER") && !strings.Contains(form, "UNSIGNED") {
			fmt.Fprintf(&body, "x-amz-trailer-signature:%s\r\n", sign("AWS4-HMAC-SHA256-TRAILER", last, hexsum("x-amz-checksum-crc32:"+trailer+"\n")))
		}
	}
	body.WriteString("\r\n")
	head := fmt.Sprintf("PUT /b/k HTTP/1.1\r\nHost: h\r\nx-amz-content-sha256: %s\r\nx-amz-date: %s\r\nx-amz-decoded-content-length: %d\r\n%sContent-Length: %d\r\n"+
		"Authorization: AWS4-HMAC-SHA256 Credential=ID/%s, SignedHeaders=%s, Signature=%s\r\n\r\n", form, stamp, total, extra, body.Len(), scope, names, sig)
	var h http1.Head
	var r http1.Request
	if n, err := h.ParseRequest([]byte(head), http1.DefaultLimits, &r); err != nil || n != len(head) {
		t.Fatal(err)
	}
	v := &sigv4.Verifier{Region: "us-east-1", Skew: time.Minute, Secret: func(string) (string, bool) { return secret, true }}
	now, _ := time.Parse("20060102T150405Z", stamp)
	a, err := v.Verify(now, &r)
	if err != nil {
		t.Fatal(err)
	}
	return &r, a, body.String()
}

// run feeds a body in pieces and returns what came out.
func run(b *Body, text string, size int) (string, bool, error) {
	var out bytes.Buffer
	var buf []byte
	for len(text) > 0 {
		n := min(size, len(text))
		buf, text = append(buf, text[:n]...), text[n:]
		used, done, err := b.Feed(buf, func(p []byte) { out.Write(p) })
		buf = buf[used:]
		if err != nil || done {
			return out.String(), done, err
		}
	}
	return out.String(), false, nil
}

func crc(s string) string {
	x := crc32.ChecksumIEEE([]byte(s))
	return base64.StdEncoding.EncodeToString([]byte{byte(x >> 24), byte(x >> 16), byte(x >> 8), byte(x)})
}

var forms = []string{"STREAMING-AWS4-HMAC-SHA256-PAYLOAD", "STREAMING-AWS4-HMAC-SHA256-PAYLOAD-TRAILER", "STREAMING-UNSIGNED-PAYLOAD-TRAILER"}

func TestStreamingForms(t *testing.T) {
	chunks := []string{strings.Repeat("line seven ", 700), "and", strings.Repeat("x", 8192)}
	whole := strings.Join(chunks, "")
	for _, form := range forms {
		sum := ""
		if strings.HasSuffix(form, "TRAILER") {
			sum = crc(whole)
		}
		for _, size := range []int{1, 2, 7, 100, 4096, 1 << 20} {
			r, a, text := signed(t, form, chunks, sum)
			b, err := New(r, a)
			if err != nil {
				t.Fatal(err)
			}
			got, done, ferr := run(b, text, size)
			if ferr != nil || !done || got != whole || string(b.Checksum.Value) != sum {
				t.Fatalf("%s in pieces of %d: %d bytes, done %v, %v", form, size, len(got), done, ferr)
			}
		}
	}
}

// Whatever byte of a signed body is changed, it is found out before it is whole.
func TestEveryChangedByteIsFound(t *testing.T) {
	chunks := []string{"hello, line seven", "and eight"}
	for _, form := range forms {
		sum := ""
		if strings.HasSuffix(form, "TRAILER") {
			sum = crc(strings.Join(chunks, ""))
		}
		_, _, text := signed(t, form, chunks, sum)
		for i := range text {
			r, a, _ := signed(t, form, chunks, sum)
			b, err := New(r, a)
			if err != nil {
				t.Fatal(err)
			}
			changed := text[:i] + string(text[i]^1) + text[i+1:]
			if got, done, err := run(b, changed, 16); done && err == nil && (got != strings.Join(chunks, "") || !strings.Contains(form, "UNSIGNED") && !strings.EqualFold(text, changed)) {
				t.Errorf("%s: byte %d, %q for %q, is not noticed", form, i, changed[i], text[i])
			}
		}
	}
}

func TestLengthsThatDiffer(t *testing.T) {
	for _, x := range []struct{ length, body string }{{"3", "abc"}, {"0", ""}} {
		var h http1.Head
		var r http1.Request
		h.ParseRequest([]byte("PUT /b/k HTTP/1.1\r\nHost: h\r\nContent-Length: "+x.length+"\r\n\r\n"), http1.DefaultLimits, &r)
		b, err := New(&r, nil)
		if err != nil {
			t.Fatal(err)
		}
		var got []byte
		used, done, ferr := b.Feed([]byte(x.body+"GET /next"), func(p []byte) { got = append(got, p...) })
		if ferr != nil || !done || used != len(x.body) || string(got) != x.body {
			t.Fatalf("%q %d %v %v", got, used, done, ferr)
		}
	}
	// A decoded length that the chunks do not have.
	for _, n := range []string{"2", "4"} {
		r, a, text := signed(t, forms[2], []string{"abc"}, crc("abc"))
		for i := range r.Headers {
			if http1.EqualFold(r.Headers[i].Name, "x-amz-decoded-content-length") {
				r.Headers[i].Value = []byte(n)
			}
		}
		b, err := New(r, a)
		if err != nil {
			t.Fatal(err)
		}
		out, done, ferr := run(b, text, 100)
		if ferr == nil {
			t.Fatalf("three bytes for %s: done %v", n, done)
		}
		if n == "2" && len(out) > 2 { // the node would take the third for its next request
			t.Fatalf("%q passed on for a length of 2", out)
		}
	}
}

func FuzzFeed(f *testing.F) {
	f.Add([]byte("5;chunk-signature=00\r\nhello\r\n0\r\n\r\n"), 3, true)
	f.Add([]byte("5\r\nhello\r\n0\r\nx-amz-checksum-crc32:AAAAAA==\r\n\r\n"), 1, false)
	f.Fuzz(func(t *testing.T, text []byte, size int, chunked bool) {
		size = min(max(size, 1), 64)
		feed := func(size int) (string, bool, bool) {
			r := http1.Request{Headers: http1.Headers{
				{Name: []byte("x-amz-decoded-content-length"), Value: []byte("5")},
				{Name: []byte("x-amz-trailer"), Value: []byte("x-amz-checksum-crc32")},
			}}
			if r.Length = int64(len(text)); chunked {
				r.Length, r.Chunked = 0, true
			}
			b, err := New(&r, &sigv4.Auth{Payload: sigv4.UnsignedChunksTrailer})
			if err != nil {
				t.Fatal(err)
			}
			got, done, ferr := run(b, string(text), size)
			return got, done, ferr != nil
		}
		g1, d1, e1 := feed(size)
		g2, d2, e2 := feed(len(text) + 1)
		if d1 != d2 || e1 != e2 || d1 && !e1 && g1 != g2 {
			t.Fatalf("in pieces %q %v %v, at once %q %v %v", g1, d1, e1, g2, d2, e2)
		}
	})
}
