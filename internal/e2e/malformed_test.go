package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	kit "chalkstand/internal/testkit"
)

// malformedRequests lists requests whose framing is ambiguous or is not valid HTTP/1.1, each with the status that
// the gateway must respond with.
var malformedRequests = []struct {
	name, text string
	status     int
}{
	{
		"both framings",
		"PUT /p/k HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		http.StatusBadRequest,
	},
	{
		"repeated length",
		"PUT /p/k HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nabcd",
		http.StatusBadRequest,
	},
	{
		"conflicting lengths",
		"PUT /p/k HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd",
		http.StatusBadRequest,
	},
	{"list of lengths", "PUT /p/k HTTP/1.1\r\nHost: x\r\nContent-Length: 4, 4\r\n\r\nabcd", http.StatusBadRequest},
	{"length with sign", "PUT /p/k HTTP/1.1\r\nHost: x\r\nContent-Length: +4\r\n\r\nabcd", http.StatusBadRequest},
	{"negative length", "PUT /p/k HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\nabcd", http.StatusBadRequest},
	{
		"length overflow",
		"PUT /p/k HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999\r\n\r\nabcd",
		http.StatusBadRequest,
	},
	{
		"list of codings",
		"PUT /p/k HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		http.StatusNotImplemented,
	},
	{
		"repeated coding",
		"PUT /p/k HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		http.StatusBadRequest,
	},
	{
		"control character before coding",
		"PUT /p/k HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n",
		http.StatusBadRequest,
	},
	{
		"coding in HTTP/1.0",
		"PUT /p/k HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		http.StatusBadRequest,
	},
	{"bare LF in header", "GET /p/k HTTP/1.1\r\nHost: x\nX: y\r\n\r\n", http.StatusBadRequest},
	{"bare LF after request line", "GET /p/k HTTP/1.1\nHost: x\n\n", http.StatusBadRequest},
	{"bare CR", "GET /p/k HTTP/1.1\r\nHost: x\r\nX: a\rb\r\n\r\n", http.StatusBadRequest},
	{"folded header", "GET /p/k HTTP/1.1\r\nHost: x\r\nX: a\r\n b\r\n\r\n", http.StatusBadRequest},
	{"space before colon", "PUT /p/k HTTP/1.1\r\nHost: x\r\nContent-Length : 4\r\n\r\nabcd", http.StatusBadRequest},
	{"no colon", "GET /p/k HTTP/1.1\r\nHost: x\r\nnonsense\r\n\r\n", http.StatusBadRequest},
	{"NUL in value", "GET /p/k HTTP/1.1\r\nHost: x\r\nX: a\x00b\r\n\r\n", http.StatusBadRequest},
	{"two hosts", "GET /p/k HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", http.StatusBadRequest},
	{"no host", "GET /p/k HTTP/1.1\r\n\r\n", http.StatusBadRequest},
	{"space in target", "GET /p /k HTTP/1.1\r\nHost: x\r\n\r\n", http.StatusBadRequest},
	{"tabs in request line", "GET\t/p/k\tHTTP/1.1\r\nHost: x\r\n\r\n", http.StatusBadRequest},
	{"HTTP/2.0", "GET /p/k HTTP/2.0\r\nHost: x\r\n\r\n", http.StatusHTTPVersionNotSupported},
	{"no version", "GET /p/k\r\nHost: x\r\n\r\n", http.StatusBadRequest},
	{
		"unknown expectation",
		"PUT /p/k HTTP/1.1\r\nHost: x\r\nExpect: a-miracle\r\nContent-Length: 4\r\n\r\nabcd",
		http.StatusExpectationFailed,
	},
	{
		"too many headers",
		"GET /p/k HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X: y\r\n", 200) + "\r\n",
		http.StatusRequestHeaderFieldsTooLarge,
	},
	{
		"too large header section",
		"GET /p/k HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", 40<<10) + "\r\n\r\n",
		http.StatusRequestHeaderFieldsTooLarge,
	},
	{
		"too long request line",
		"GET /" + strings.Repeat("y", 9<<10) + " HTTP/1.1\r\nHost: x\r\n\r\n",
		http.StatusRequestURITooLong,
	},
	{"TLS handshake", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", http.StatusBadRequest},
}

// TestMalformedHTTPIsRejectedAndClosed checks that the gateway sends one response to a malformed request and then
// closes the connection. The gateway must not read the bytes after a malformed request as another request, and must
// not send anything to a node.
func TestMalformedHTTPIsRejectedAndClosed(t *testing.T) {
	const smuggled = "GET /photos/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
	site := kit.Start(t, kit.Settings(1), nil)
	for _, tt := range malformedRequests {
		t.Run(tt.name, func(t *testing.T) {
			got := exchangeRaw(t, site, tt.text+smuggled)
			if n := strings.Count(got, "HTTP/1.1 "); n != 1 {
				t.Errorf("got %d responses, want 1:\n%s", n, got)
			}
			if !strings.HasPrefix(got, fmt.Sprintf("HTTP/1.1 %d ", tt.status)) {
				t.Errorf("want status %d, got:\n%s", tt.status, got)
			}
			if !strings.Contains(got, "Connection: close") || !strings.Contains(got, "<Code>") {
				t.Errorf("want an error code and the header Connection: close, got:\n%s", got)
			}
		})
	}
	checkNothingReachedNodes(t, site, 0)
}

// TestInvalidRequestsAreRejected sends well-formed HTTP requests that the object API does not support or whose
// parameters are invalid. It checks that the gateway rejects each with the right error code and sends nothing to a
// node.
func TestInvalidRequestsAreRejected(t *testing.T) {
	site := kit.Start(t, kit.Settings(2), nil)
	createBucket(t, site, "photos")
	before := len(site.Log())
	for _, tt := range []struct{ method, path, body, code string }{
		{http.MethodPost, "/photos?delete", "<Delete>", "MalformedXML"},
		{http.MethodPost, "/photos?delete", "<Delete></Delete>", "MalformedXML"},
		{http.MethodPut, "/photos/k?partNumber=0&uploadId=x", "x", "InvalidArgument"},
		{http.MethodPut, "/photos/k?partNumber=10001&uploadId=x", "x", "InvalidArgument"},
		{http.MethodGet, "/photos?max-keys=-1", "", "InvalidArgument"},
		{http.MethodGet, "/photos?list-type=2&continuation-token=%20", "", "InvalidArgument"},
		{http.MethodGet, "/photos?acl", "", "NotImplemented"},
		{http.MethodGet, "/photos/k?versionId=3", "", "NotImplemented"},
		{http.MethodPatch, "/photos/k", "", "MethodNotAllowed"},
		{http.MethodGet, "/Bad_Bucket/k", "", "InvalidBucketName"},
		{http.MethodGet, "/photos/%zz", "", "InvalidURI"},
		{http.MethodPut, "/photos/" + strings.Repeat("k", 1025), "x", "KeyTooLongError"},
	} {
		got := exchangeRaw(t, site, unescapedRequest(t, site, tt.method, tt.path, tt.body))
		if !strings.Contains(got, "<Code>"+tt.code+"</Code>") {
			t.Errorf("%s %.60s: response without the listed error code: %s", tt.method, tt.path, got)
		}
	}
	checkNothingReachedNodes(t, site, before)
}

// unescapedRequest returns the text of a signed request. The path is sent exactly as given, without escaping.
func unescapedRequest(t *testing.T, site *kit.Site, method, path, body string) string {
	t.Helper()
	r := site.NewRequest(method, "/", nil)
	target, query, _ := strings.Cut(path, "?")
	r.URL.Opaque = "//" + site.Addr + target
	r.URL.RawQuery = query
	kit.SignRequest(r, kit.KeyID, kit.Secret, time.Now())
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Length: %d\r\n%s\r\n%s",
		method, path, site.Addr, len(body), headerText(t, r.Header), body)
}

// TestFragmentedAndPipelinedRequests checks that requests may arrive in fragments of any size, and that a client may
// send several requests on one connection before it reads the first response.
func TestFragmentedAndPipelinedRequests(t *testing.T) {
	const requests = 3
	site := kit.Start(t, kit.Settings(1), nil)
	createBucket(t, site, "photos")
	var text bytes.Buffer
	for i := range requests {
		path := fmt.Sprint("/photos/k", i)
		resp := site.Do(http.MethodPut, path, nil, strings.NewReader(fmt.Sprint("body ", i)))
		checkStatus(t, path, resp, http.StatusOK)
		text.WriteString("\r\n") // the gateway ignores an empty line before a request
		text.Write(requestText(t, site, http.MethodGet, path, nil))
	}
	for _, size := range []int{1, 7, 1 << 20} {
		t.Run(fmt.Sprint("fragments of ", size), func(t *testing.T) {
			c := site.Dial()
			defer c.Close()
			for rest := text.Bytes(); len(rest) > 0; {
				n := min(size, len(rest))
				if _, err := c.Write(rest[:n]); err != nil {
					t.Fatal(err)
				}
				rest = rest[n:]
			}
			r := bufio.NewReader(c)
			for i := range requests {
				resp := kit.ReadResponse(t, r)
				if want := fmt.Sprint("body ", i); string(resp.Body) != want {
					t.Fatalf("response %d: got %v, want body %q", i, resp, want)
				}
			}
		})
	}
}
