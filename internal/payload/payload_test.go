package payload

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash/crc32"
	"strings"
	"testing"
	"time"

	"chalkstand/internal/http1"
	"chalkstand/internal/sigv4"
)

const (
	secret          = "a-secret-of-tests"
	day             = "20261201"
	timestampFormat = "20060102T150405Z"
	timestamp       = "20261201T120000Z"
	scope           = day + "/us-east-1/s3/aws4_request"

	algorithm = "AWS4-HMAC-SHA256"
	checksum  = "x-amz-checksum-crc32"
)

// forms holds the values of x-amz-content-sha256 that announce a streaming form.
var forms = []string{
	"STREAMING-AWS4-HMAC-SHA256-PAYLOAD",
	"STREAMING-AWS4-HMAC-SHA256-PAYLOAD-TRAILER",
	"STREAMING-UNSIGNED-PAYLOAD-TRAILER",
}

func isSigned(form string) bool { return !strings.Contains(form, "UNSIGNED") }

func hasTrailer(form string) bool { return strings.HasSuffix(form, "TRAILER") }

func hmacSHA256(key []byte, s string) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(s))
	return m.Sum(nil)
}

func hexSHA256(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// sign returns the signature of the string to sign, which consists of the algorithm, the timestamp,
// the scope, and the given lines.
func sign(algorithm string, lines ...string) string {
	key := []byte("AWS4" + secret)
	for _, s := range []string{day, "us-east-1", "s3", "aws4_request"} {
		key = hmacSHA256(key, s)
	}
	return hex.EncodeToString(hmacSHA256(key, algorithm+"\n"+timestamp+"\n"+scope+"\n"+strings.Join(lines, "\n")))
}

// encodeChunked returns a body with the given chunks and trailer in the aws-chunked coding. seed is
// the signature of the head, which the signature of the first chunk covers.
func encodeChunked(form string, chunks []string, trailer, seed string) string {
	var body strings.Builder
	last := seed
	for _, c := range append(chunks, "") {
		extension := ""
		if isSigned(form) {
			last = sign(algorithm+"-PAYLOAD", last, hexSHA256(""), hexSHA256(c))
			extension = ";chunk-signature=" + last
		}
		if c == "" {
			fmt.Fprintf(&body, "0%s\r\n", extension)
		} else {
			fmt.Fprintf(&body, "%x%s\r\n%s\r\n", len(c), extension, c)
		}
	}
	if trailer != "" {
		fmt.Fprintf(&body, "%s:%s\r\n", checksum, trailer)
		if hasTrailer(form) && isSigned(form) {
			signature := sign(algorithm+"-TRAILER", last, hexSHA256(checksum+":"+trailer+"\n"))
			fmt.Fprintf(&body, "x-amz-trailer-signature:%s\r\n", signature)
		}
	}
	body.WriteString("\r\n")
	return body.String()
}

// signedRequest returns the head, the verified signature, and the encoded body of a request in a
// streaming form. It signs the request without the code of package sigv4. trailer is the checksum
// in the trailer, or empty for a body without a trailer.
func signedRequest(t *testing.T, form string, chunks []string, trailer string) (*http1.Request, *sigv4.Auth, string) {
	t.Helper()
	length := len(strings.Join(chunks, ""))
	names := "host;x-amz-content-sha256;x-amz-date;x-amz-decoded-content-length"
	values := fmt.Sprintf("host:h\nx-amz-content-sha256:%s\nx-amz-date:%s\nx-amz-decoded-content-length:%d\n",
		form, timestamp, length)
	trailerHeader := ""
	if trailer != "" {
		names += ";x-amz-trailer"
		values += "x-amz-trailer:" + checksum + "\n"
		trailerHeader = "x-amz-trailer: " + checksum + "\r\n"
	}
	canonical := "PUT\n/b/k\n\n" + values + "\n" + names + "\n" + form
	signature := sign(algorithm, hexSHA256(canonical))
	body := encodeChunked(form, chunks, trailer, signature)
	head := fmt.Sprintf("PUT /b/k HTTP/1.1\r\nHost: h\r\nx-amz-content-sha256: %s\r\nx-amz-date: %s\r\n"+
		"x-amz-decoded-content-length: %d\r\n%sContent-Length: %d\r\n"+
		"Authorization: %s Credential=ID/%s, SignedHeaders=%s, Signature=%s\r\n\r\n",
		form, timestamp, length, trailerHeader, len(body), algorithm, scope, names, signature)
	r := parseHead(t, head)
	v := &sigv4.Verifier{
		Region: "us-east-1",
		Skew:   time.Minute,
		Secret: func(string) (string, bool) { return secret, true },
	}
	now, err := time.Parse(timestampFormat, timestamp)
	if err != nil {
		t.Fatal(err)
	}
	auth, authErr := v.Verify(now, r)
	if authErr != nil {
		t.Fatal(authErr)
	}
	return r, auth, body
}

// parseHead parses a complete request head.
func parseHead(t *testing.T, text string) *http1.Request {
	t.Helper()
	var h http1.HeadParser
	var r http1.Request
	if n, err := h.ParseRequest([]byte(text), http1.DefaultLimits, &r); err != nil || n != len(text) {
		t.Fatalf("ParseRequest: got length %d and error %v, want the length of the text and no error", n, err)
	}
	return &r
}

// newBody returns the Body of a request, and ends the test if New returns an error.
func newBody(t *testing.T, r *http1.Request, auth *sigv4.Auth) *Body {
	t.Helper()
	b, err := New(r, auth)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// feedAll passes text to b.Feed in pieces of the given size. It returns the decoded data and the last
// results of Feed.
func feedAll(b *Body, text string, size int) (data string, done bool, err error) {
	var out bytes.Buffer
	var in []byte
	for len(text) > 0 {
		n := min(size, len(text))
		in = append(in, text[:n]...)
		text = text[n:]
		used, done, err := b.Feed(in, func(p []byte) { out.Write(p) })
		in = in[used:]
		if err != nil || done {
			return out.String(), done, err
		}
	}
	return out.String(), false, nil
}

// encodedCRC32 returns the CRC-32 of s in the encoding of a checksum header.
func encodedCRC32(s string) string {
	return base64.StdEncoding.EncodeToString(binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE([]byte(s))))
}

// trailerOf returns the checksum of data if the form has a trailer, and an empty string otherwise.
func trailerOf(form, data string) string {
	if hasTrailer(form) {
		return encodedCRC32(data)
	}
	return ""
}

func TestStreamingForms(t *testing.T) {
	chunks := []string{strings.Repeat("line seven ", 700), "and", strings.Repeat("x", 8192)}
	data := strings.Join(chunks, "")
	for _, form := range forms {
		t.Run(form, func(t *testing.T) {
			trailer := trailerOf(form, data)
			for _, size := range []int{1, 2, 7, 100, 4096, 1 << 20} {
				r, auth, text := signedRequest(t, form, chunks, trailer)
				b := newBody(t, r, auth)
				got, done, err := feedAll(b, text, size)
				if err != nil || !done || got != data || string(b.Checksum.Value) != trailer {
					t.Fatalf("body in pieces of %d bytes: got %d bytes of data, done %v, error %v", size, len(got), done, err)
				}
			}
		})
	}
}

// TestEveryChangedByteIsDetected changes each byte of an encoded body in turn, and checks that Feed
// reports an error or passes on the original data. In a signed body it accepts only a change of
// letter case, such as that of a hexadecimal digit.
func TestEveryChangedByteIsDetected(t *testing.T) {
	chunks := []string{"hello, line seven", "and eight"}
	data := strings.Join(chunks, "")
	for _, form := range forms {
		t.Run(form, func(t *testing.T) {
			trailer := trailerOf(form, data)
			_, _, text := signedRequest(t, form, chunks, trailer)
			for i := range text {
				r, auth, _ := signedRequest(t, form, chunks, trailer)
				changed := text[:i] + string(text[i]^1) + text[i+1:]
				got, done, err := feedAll(newBody(t, r, auth), changed, 16)
				if !done || err != nil {
					continue
				}
				if got != data || isSigned(form) && !strings.EqualFold(text, changed) {
					t.Errorf("changed byte %d is not detected: it is %q in place of %q", i, changed[i], text[i])
				}
			}
		})
	}
}

// TestFramingByLength checks that a body with a Content-Length ends after that many bytes, and that
// Feed does not consume the bytes of the next request.
func TestFramingByLength(t *testing.T) {
	for _, body := range []string{"abc", ""} {
		r := parseHead(t, fmt.Sprintf("PUT /b/k HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body)))
		var got []byte
		used, done, err := newBody(t, r, nil).Feed([]byte(body+"GET /next"), func(p []byte) { got = append(got, p...) })
		if err != nil || !done || used != len(body) || string(got) != body {
			t.Fatalf("body %q: got data %q, %d bytes used, done %v, error %v", body, got, used, done, err)
		}
	}
}

// TestWrongDecodedLength checks that Feed rejects a body whose chunks hold fewer or more bytes than
// x-amz-decoded-content-length states.
func TestWrongDecodedLength(t *testing.T) {
	for _, length := range []string{"2", "4"} {
		r, auth, text := signedRequest(t, forms[2], []string{"abc"}, encodedCRC32("abc"))
		for i := range r.Headers {
			if http1.EqualFold(r.Headers[i].Name, "x-amz-decoded-content-length") {
				r.Headers[i].Value = []byte(length)
			}
		}
		data, done, err := feedAll(newBody(t, r, auth), text, 100)
		if err == nil {
			t.Fatalf("a body of 3 bytes was accepted for a decoded length of %s: done %v", length, done)
		}
		if length == "2" && len(data) > 2 { // A node would read the third byte as the start of the next request.
			t.Fatalf("Feed passed on the data %q for a decoded length of 2", data)
		}
	}
}

func FuzzFeed(f *testing.F) {
	f.Add([]byte("5;chunk-signature=00\r\nhello\r\n0\r\n\r\n"), 3, true)
	f.Add([]byte("5\r\nhello\r\n0\r\nx-amz-checksum-crc32:AAAAAA==\r\n\r\n"), 1, false)
	f.Fuzz(func(t *testing.T, text []byte, size int, chunked bool) {
		size = min(max(size, 1), 64)
		feed := func(size int) (data string, done, failed bool) {
			r := http1.Request{Headers: http1.Headers{
				{Name: []byte("x-amz-decoded-content-length"), Value: []byte("5")},
				{Name: []byte("x-amz-trailer"), Value: []byte(checksum)},
			}}
			if chunked {
				r.Chunked = true
			} else {
				r.Length = int64(len(text))
			}
			b := newBody(t, &r, &sigv4.Auth{Payload: sigv4.UnsignedChunksTrailer})
			data, done, err := feedAll(b, string(text), size)
			return data, done, err != nil
		}
		data, done, failed := feed(size)
		wholeData, wholeDone, wholeFailed := feed(len(text) + 1)
		if done != wholeDone || failed != wholeFailed || done && !failed && data != wholeData {
			t.Fatalf("passed in pieces: data %q, done %v, failed %v; passed at once: data %q, done %v, failed %v",
				data, done, failed, wholeData, wholeDone, wholeFailed)
		}
	})
}
