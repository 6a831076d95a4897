package e2e

import (
	"bufio"
	"bytes"
	"crypto/md5"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"

	kit "chalkstand/internal/testkit"
)

// raw sends bytes and returns all that comes back until the gateway closes or a
// while has passed after the last answer.
func raw(t testing.TB, e *kit.Site, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", e.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("after %q: %v", b, err)
	}
	return string(b)
}

// Requests whose framing is in doubt are answered once, the connection is closed,
// what follows is not taken for a request, and nothing reaches a node.
func TestMalformedHTTPIsRefusedAndClosed(t *testing.T) {
	e := kit.Start(t, kit.Settings(1), nil)
	smuggled := "GET /photos/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
	for name, x := range map[string]struct {
		text   string
		status int
	}{
		"both lengths":        {"PUT /p/k HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"two lengths":         {"PUT /p/k HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nabcd", 400},
		"different lengths":   {"PUT /p/k HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd", 400},
		"list of lengths":     {"PUT /p/k HTTP/1.1\r\nHost: x\r\nContent-Length: 4, 4\r\n\r\nabcd", 400},
		"signed length":       {"PUT /p/k HTTP/1.1\r\nHost: x\r\nContent-Length: +4\r\n\r\nabcd", 400},
		"negative length":     {"PUT /p/k HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\nabcd", 400},
		"huge length":         {"PUT /p/k HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999\r\n\r\nabcd", 400},
		"coding in a list":    {"PUT /p/k HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501},
		"coding twice":        {"PUT /p/k HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"hidden coding":       {"PUT /p/k HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n", 400},
		"coding in 1.0":       {"PUT /p/k HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"bare LF in a line":   {"GET /p/k HTTP/1.1\r\nHost: x\nX: y\r\n\r\n", 400},
		"bare LF at first":    {"GET /p/k HTTP/1.1\nHost: x\n\n", 400},
		"bare CR":             {"GET /p/k HTTP/1.1\r\nHost: x\r\nX: a\rb\r\n\r\n", 400},
		"folded line":         {"GET /p/k HTTP/1.1\r\nHost: x\r\nX: a\r\n b\r\n\r\n", 400},
		"blank before colon":  {"PUT /p/k HTTP/1.1\r\nHost: x\r\nContent-Length : 4\r\n\r\nabcd", 400},
		"no colon":            {"GET /p/k HTTP/1.1\r\nHost: x\r\nnonsense\r\n\r\n", 400},
		"NUL in a value":      {"GET /p/k HTTP/1.1\r\nHost: x\r\nX: a\x00b\r\n\r\n", 400},
		"two hosts":           {"GET /p/k HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400},
		"no host":             {"GET /p/k HTTP/1.1\r\n\r\n", 400},
		"blank in the target": {"GET /p /k HTTP/1.1\r\nHost: x\r\n\r\n", 400},
		"tab in the line":     {"GET\t/p/k\tHTTP/1.1\r\nHost: x\r\n\r\n", 400},
		"version 2.0":         {"GET /p/k HTTP/2.0\r\nHost: x\r\n\r\n", 505},
		"no version":          {"GET /p/k\r\nHost: x\r\n\r\n", 400},
		"unknown expectation": {"PUT /p/k HTTP/1.1\r\nHost: x\r\nExpect: a-miracle\r\nContent-Length: 4\r\n\r\nabcd", 417},
		"too many lines":      {"GET /p/k HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X: y\r\n", 200) + "\r\n", 431},
		"too large a head":    {"GET /p/k HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", 40<<10) + "\r\n\r\n", 431},
		"too long a line":     {"GET /" + strings.Repeat("y", 9<<10) + " HTTP/1.1\r\nHost: x\r\n\r\n", 414},
		"TLS":                 {"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400},
	} {
		got := raw(t, e, x.text+smuggled)
		if n := strings.Count(got, "HTTP/1.1 "); n != 1 || !strings.HasPrefix(got, fmt.Sprintf("HTTP/1.1 %d ", x.status)) {
			t.Errorf("%s: %d answers, want one of %d:\n%s", name, n, x.status, got)
		}
		if !strings.Contains(got, "Connection: close") || !strings.Contains(got, "<Code>") {
			t.Errorf("%s: no code, or the connection stays open:\n%s", name, got)
		}
	}
	if log := e.Log(); len(log) != 0 {
		t.Fatalf("%d requests reached a node: %+v", len(log), log[0])
	}
}

// A head may come a byte at a time, and requests one behind the other.
func TestHeadsInPiecesAndPipelines(t *testing.T) {
	e := kit.Start(t, kit.Settings(1), nil)
	bucket(t, e, "photos")
	for i := range 3 {
		resp := e.Signed("PUT", fmt.Sprint("/photos/k", i), nil, strings.NewReader(fmt.Sprint("body ", i)))
		if kit.ReadAll(t, resp.Body); resp.StatusCode != 200 {
			t.Fatal(resp.Status)
		}
	}
	var all bytes.Buffer
	for i := range 3 {
		r, _ := http.NewRequest("GET", fmt.Sprintf("http://%s/photos/k%d", e.Addr, i), nil)
		kit.SignRequest(r, kit.KeyID, kit.Secret, time.Now())
		all.WriteString("\r\n") // an empty line before a request is passed over
		r.Write(&all)
	}
	for _, piece := range []int{1, 7, 1 << 20} {
		c := kit.Must(net.Dial("tcp", e.Addr))(t)
		text := all.Bytes()
		for len(text) > 0 {
			n := min(piece, len(text))
			c.Write(text[:n])
			text = text[n:]
		}
		br := bufio.NewReader(c)
		for i := range 3 {
			resp := kit.Must(http.ReadResponse(br, nil))(t)
			if b := kit.ReadAll(t, resp.Body); string(b) != fmt.Sprint("body ", i) {
				t.Fatalf("in pieces of %d: answer %d is %q", piece, i, b)
			}
		}
		c.Close()
	}
}

func TestSignaturesThatDoNotHold(t *testing.T) {
	e := kit.Start(t, kit.Settings(1), nil)
	c := bucket(t, e, "photos")
	kit.Must(c.PutObject(ctx, &s3.PutObjectInput{Bucket: aws.String("photos"), Key: aws.String("k"), Body: strings.NewReader("x")}))(t)
	before := len(e.Log())
	client := func(id, secret string) *s3.Client {
		return s3.New(s3.Options{
			BaseEndpoint: aws.String("http://" + e.Addr), Region: "us-east-1", UsePathStyle: true, RetryMaxAttempts: 1,
			Credentials: credentials.NewStaticCredentialsProvider(id, secret, ""),
		})
	}
	get := &s3.GetObjectInput{Bucket: aws.String("photos"), Key: aws.String("k")}
	for want, c := range map[string]*s3.Client{"SignatureDoesNotMatch": client(kit.KeyID, "wrong-secret"), "InvalidAccessKeyId": client("NOBODY", "x")} {
		if _, err := c.GetObject(ctx, get); code(err) != want {
			t.Errorf("%v, want %s", err, want)
		}
	}
	reader := client("READER", "reader-secret")
	if _, err := reader.PutObject(ctx, &s3.PutObjectInput{Bucket: aws.String("photos"), Key: aws.String("k"), Body: strings.NewReader("y")}); code(err) != "AccessDenied" {
		t.Error(err)
	}
	if _, err := reader.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String("other"), Key: aws.String("k")}); code(err) != "AccessDenied" {
		t.Error(err)
	}
	try := func(name, want string, change func(*http.Request)) {
		r, _ := http.NewRequest("GET", "http://"+e.Addr+"/photos/k", nil)
		kit.SignRequest(r, kit.KeyID, kit.Secret, time.Now())
		change(r)
		resp := kit.Must(http.DefaultTransport.RoundTrip(r))(t)
		if b := string(kit.ReadAll(t, resp.Body)); !strings.Contains(b, "<Code>"+want+"</Code>") {
			t.Errorf("%s: %s", name, b)
		}
	}
	try("skewed", "RequestTimeTooSkewed", func(r *http.Request) { kit.SignRequest(r, kit.KeyID, kit.Secret, time.Now().Add(-time.Hour)) })
	try("another path", "SignatureDoesNotMatch", func(r *http.Request) { r.URL.Path = "/photos/other" })
	try("a query more", "SignatureDoesNotMatch", func(r *http.Request) { r.URL.RawQuery = "partNumber=1" })
	try("an unsigned header", "AccessDenied", func(r *http.Request) { r.Header.Set("x-amz-meta-sly", "1") })
	try("no signature", "AccessDenied", func(r *http.Request) { r.Header.Del("Authorization") })
	try("half a header", "AuthorizationHeaderMalformed", func(r *http.Request) { r.Header.Set("Authorization", "AWS4-HMAC-SHA256 Credential=x") })
	url := "http://" + e.Addr + "/photos/k"
	for name, u := range map[string]string{
		"AccessDenied":                      kit.PresignURL("GET", url, kit.KeyID, kit.Secret, time.Now().Add(-time.Minute), "30"),
		"AuthorizationQueryParametersError": kit.PresignURL("GET", url, kit.KeyID, kit.Secret, time.Now(), "604801"),
		"SignatureDoesNotMatch":             kit.PresignURL("GET", url, kit.KeyID, "wrong-secret", time.Now(), "30"),
	} {
		resp := kit.Must(http.Get(u))(t)
		if b := string(kit.ReadAll(t, resp.Body)); resp.StatusCode/100 != 4 || !strings.Contains(b, name) {
			t.Errorf("presigned, %s: %s", name, b)
		}
	}
	if n := len(e.Log()); n != before {
		t.Fatalf("%d refused requests reached a node", n-before)
	}
	resp := kit.Must(http.Get(kit.PresignURL("GET", url, kit.KeyID, kit.Secret, time.Now(), "30")))(t)
	kit.Same(t, "presigned", kit.ReadAll(t, resp.Body), []byte("x"))
}

// What the client says of its body is checked before it counts as stored, for
// bodies that are held and for those that stream through.
func TestBadDigestsStoreNothing(t *testing.T) {
	e := kit.Start(t, kit.Settings(1), nil)
	c := bucket(t, e, "photos")
	for _, n := range []int{100, 300_000} {
		good := kit.Bytes(3, n)
		kit.Must(c.PutObject(ctx, &s3.PutObjectInput{Bucket: aws.String("photos"), Key: aws.String("k"), Body: bytes.NewReader(good)}))(t)
		sum := md5.Sum([]byte("something else"))
		for name, x := range map[string]struct{ header, value, code string }{
			"md5":          {"Content-Md5", base64.StdEncoding.EncodeToString(sum[:]), "BadDigest"},
			"broken md5":   {"Content-Md5", "xx", "InvalidDigest"},
			"crc32":        {"X-Amz-Checksum-Crc32", "AAAAAA==", "BadDigest"},
			"crc32c":       {"X-Amz-Checksum-Crc32c", "AAAAAA==", "BadDigest"},
			"crc64nvme":    {"X-Amz-Checksum-Crc64nvme", "AAAAAAAAAAA=", "BadDigest"},
			"sha1":         {"X-Amz-Checksum-Sha1", base64.StdEncoding.EncodeToString(make([]byte, 20)), "BadDigest"},
			"sha256":       {"X-Amz-Checksum-Sha256", base64.StdEncoding.EncodeToString(make([]byte, 32)), "BadDigest"},
			"broken crc32": {"X-Amz-Checksum-Crc32", "AAA", "InvalidRequest"},
		} {
			resp := e.Signed("PUT", "/photos/k", http.Header{x.header: {x.value}}, bytes.NewReader(kit.Bytes(8, n)))
			if b := string(kit.ReadAll(t, resp.Body)); resp.StatusCode != 400 || !strings.Contains(b, x.code) {
				t.Errorf("%s, %d bytes: %d %s", name, n, resp.StatusCode, b)
			}
		}
		get := kit.Must(c.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String("photos"), Key: aws.String("k")}))(t)
		kit.Same(t, "after bad ones", kit.ReadAll(t, get.Body), good)
	}
}

// The hash that a signature covers is the gateway's alone to check: a node that got
// the whole body would store it.
func TestBodyThatIsNotTheSignedOne(t *testing.T) {
	e := kit.Start(t, kit.Settings(1), nil)
	bucket(t, e, "photos")
	for _, n := range []int{100, 300_000} {
		r := kit.Must(http.NewRequest("PUT", "http://"+e.Addr+"/photos/k", bytes.NewReader(make([]byte, n))))(t)
		kit.SignPayload(r, kit.KeyID, kit.Secret, time.Now(), strings.Repeat("ab", 32))
		resp := kit.Must((&http.Transport{}).RoundTrip(r))(t)
		if b := string(kit.ReadAll(t, resp.Body)); resp.StatusCode != 400 || !strings.Contains(b, "XAmzContentSHA256Mismatch") {
			t.Errorf("%d bytes: %d %s", n, resp.StatusCode, b)
		}
	}
	wait(t, func() bool { return e.Nodes[0].Idle() })
	if n := e.Data[0].Objects("photos"); n != 0 {
		t.Fatalf("%d objects stored", n)
	}
}

// An upload whose signed chunks were changed on the way is refused and not stored.
func TestChangedChunk(t *testing.T) {
	e := kit.Start(t, kit.Settings(1), nil)
	bucket(t, e, "photos")
	// A proxy between client and gateway that flips a byte of the body.
	proxy := kit.Must(net.Listen("tcp", "127.0.0.1:0"))(t)
	defer proxy.Close()
	go func() {
		for {
			in, err := proxy.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", e.Addr)
			if err != nil {
				return
			}
			go func() { io.Copy(in, out); in.Close() }()
			go func() {
				buf, seen := make([]byte, 32<<10), 0
				for {
					n, err := in.Read(buf)
					if seen < 20_000 && seen+n > 20_000 {
						buf[20_000-seen] ^= 1
					}
					seen += n
					out.Write(buf[:n])
					if err != nil {
						out.Close()
						return
					}
				}
			}()
		}
	}()
	site := *e
	site.Addr = proxy.Addr().String()
	m := site.Minio() // signs each chunk over plain HTTP
	for _, n := range []int{40_000, 500_000} {
		if _, err := putMinio(m, "photos", "k", kit.Bytes(1, n)); err == nil {
			t.Fatalf("%d bytes: a changed body was taken", n)
		}
	}
	if n := e.Data[0].Objects("photos"); n != 0 {
		t.Fatalf("%d objects stored", n)
	}
}

func TestDocumentsThatAreNone(t *testing.T) {
	e := kit.Start(t, kit.Settings(2), nil)
	bucket(t, e, "photos")
	before := len(e.Log())
	for _, x := range []struct{ method, path, body, code string }{
		{"POST", "/photos?delete", "<Delete>", "MalformedXML"},
		{"POST", "/photos?delete", "<Delete></Delete>", "MalformedXML"},
		{"PUT", "/photos/k?partNumber=0&uploadId=x", "x", "InvalidArgument"},
		{"PUT", "/photos/k?partNumber=10001&uploadId=x", "x", "InvalidArgument"},
		{"GET", "/photos?max-keys=-1", "", "InvalidArgument"},
		{"GET", "/photos?list-type=2&continuation-token=%20", "", "InvalidArgument"},
		{"GET", "/photos?acl", "", "NotImplemented"},
		{"GET", "/photos/k?versionId=3", "", "NotImplemented"},
		{"PATCH", "/photos/k", "", "MethodNotAllowed"},
		{"GET", "/Bad_Bucket/k", "", "InvalidBucketName"},
		{"GET", "/photos/%zz", "", "InvalidURI"},
		{"PUT", "/photos/" + strings.Repeat("k", 1025), "x", "KeyTooLongError"},
	} {
		r := kit.Must(http.NewRequest(x.method, "http://"+e.Addr+"/", nil))(t)
		u, q, _ := strings.Cut(x.path, "?")
		r.URL.Opaque, r.URL.RawQuery = "//"+e.Addr+u, q
		kit.SignRequest(r, kit.KeyID, kit.Secret, time.Now())
		var text strings.Builder
		fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Length: %d\r\n", x.method, x.path, e.Addr, len(x.body))
		r.Header.Write(&text)
		text.WriteString("\r\n" + x.body)
		b := raw(t, e, text.String())
		if !strings.Contains(b, "<Code>"+x.code+"</Code>") {
			t.Errorf("%s %.60s: %s", x.method, x.path, b)
		}
	}
	if n := len(e.Log()); n != before {
		t.Fatalf("%d requests reached a node", n-before)
	}
}
