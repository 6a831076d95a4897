package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"

	kit "chalkstand/internal/testkit"
)

func TestAWSClientPutsAndGets(t *testing.T) {
	site := kit.Start(t, kit.Settings(3), nil)
	b := createBucket(t, site, "photos")
	for _, n := range []int{0, 1, 4096, 65536, 65537, 300_000, 8 << 20} {
		t.Run(fmt.Sprint(n, " bytes"), func(t *testing.T) { checkPutAndGet(t, b, n) })
	}
	_, err := b.GetObject(t.Context(), &s3.GetObjectInput{Bucket: aws.String("photos"), Key: aws.String("none")})
	checkErrorCode(t, err, "NoSuchKey")
	_, err = b.GetObject(t.Context(), &s3.GetObjectInput{Bucket: aws.String("nowhere"), Key: aws.String("none")})
	checkErrorCode(t, err, "NoSuchBucket")
}

// checkPutAndGet stores an object of n bytes. It checks the object's content and the metadata that GET and HEAD
// return.
func checkPutAndGet(t *testing.T, b testBucket, n int) {
	t.Helper()
	key := fmt.Sprintf("line 1/part+%d ü?&=%%.jpg", n)
	want := kit.RandomBytes(uint64(n), n)
	put := kit.Must(b.PutObject(t.Context(), &s3.PutObjectInput{
		Bucket:      &b.name,
		Key:         &key,
		Body:        bytes.NewReader(want),
		ContentType: aws.String("image/jpeg"),
		Metadata:    map[string]string{"line": "seven"},
	}))(t)
	get := kit.Must(b.GetObject(t.Context(), &s3.GetObjectInput{Bucket: &b.name, Key: &key}))(t)
	kit.CheckEqual(t, key, kit.ReadAll(t, get.Body), want)
	if *get.ETag != *put.ETag || *get.ContentLength != int64(n) {
		t.Errorf("GET: got %+v, want the stored object's ETag and length", get)
	}
	if *get.ContentType != "image/jpeg" || get.Metadata["line"] != "seven" {
		t.Errorf("GET: got %+v, want the stored object's content type and metadata", get)
	}
	head, err := b.HeadObject(t.Context(), &s3.HeadObjectInput{Bucket: &b.name, Key: &key})
	if err != nil || *head.ContentLength != int64(n) || *head.ETag != *put.ETag {
		t.Errorf("HEAD: got %+v and error %v, want the stored object's ETag and length", head, err)
	}
}

func TestRangesAndConditions(t *testing.T) {
	const size = 200_000
	site := kit.Start(t, kit.Settings(2), nil)
	b := createBucket(t, site, "photos")
	body := kit.RandomBytes(1, size)
	in := &s3.PutObjectInput{Bucket: &b.name, Key: aws.String("k"), Body: bytes.NewReader(body)}
	etag := *kit.Must(b.PutObject(t.Context(), in))(t).ETag
	later := time.Now().Add(time.Hour).UTC().Format(http.TimeFormat)
	earlier := time.Now().Add(-time.Hour).UTC().Format(http.TimeFormat)
	for _, tt := range []struct {
		name, value string
		second      [2]string // name and value of a second header, or empty strings for none
		status      int
		from, to    int // expected range of the object in the body; if to is 0, the test does not check the body
	}{
		{"Range", "bytes=0-0", [2]string{}, http.StatusPartialContent, 0, 1},
		{"Range", "bytes=100-65635", [2]string{}, http.StatusPartialContent, 100, 65636},
		{"Range", "bytes=1000-", [2]string{}, http.StatusPartialContent, 1000, size},
		{"Range", "bytes=-70000", [2]string{}, http.StatusPartialContent, 130_000, size},
		{"Range", "bytes=-999999", [2]string{}, http.StatusPartialContent, 0, size},
		{"Range", "bytes=199999-300000", [2]string{}, http.StatusPartialContent, 199_999, size},
		{"Range", "bytes=200000-", [2]string{}, http.StatusRequestedRangeNotSatisfiable, 0, 0},
		{"Range", "bytes=-0", [2]string{}, http.StatusRequestedRangeNotSatisfiable, 0, 0},
		{"Range", "bytes=5-2", [2]string{}, http.StatusOK, 0, size},
		{"Range", "lines=1-2", [2]string{}, http.StatusOK, 0, size},
		{"If-Match", etag, [2]string{}, http.StatusOK, 0, size},
		{"If-Match", `"other"`, [2]string{}, http.StatusPreconditionFailed, 0, 0},
		{"If-None-Match", etag, [2]string{}, http.StatusNotModified, 0, 0},
		{"If-None-Match", `"other"`, [2]string{}, http.StatusOK, 0, size},
		{"If-Modified-Since", later, [2]string{}, http.StatusNotModified, 0, 0},
		{"If-Modified-Since", earlier, [2]string{}, http.StatusOK, 0, size},
		{"If-Unmodified-Since", earlier, [2]string{}, http.StatusPreconditionFailed, 0, 0},
		{"If-Unmodified-Since", later, [2]string{}, http.StatusOK, 0, size},
		{"If-Match", etag, [2]string{"If-Unmodified-Since", earlier}, http.StatusOK, 0, size},
		{"Range", "bytes=0-9", [2]string{"If-Range", etag}, http.StatusPartialContent, 0, 10},
		{"Range", "bytes=0-9", [2]string{"If-Range", `"other"`}, http.StatusOK, 0, size},
	} {
		h := http.Header{tt.name: {tt.value}}
		if tt.second[0] != "" {
			h.Set(tt.second[0], tt.second[1])
		}
		what := fmt.Sprint(h)
		resp := site.Do(http.MethodGet, "/photos/k", h, nil)
		checkStatus(t, what, resp, tt.status)
		if tt.to > 0 {
			kit.CheckEqual(t, what, resp.Body, body[tt.from:tt.to])
		}
		wantRange := fmt.Sprintf("bytes %d-%d/%d", tt.from, tt.to-1, size)
		if got := resp.Header.Get("Content-Range"); tt.status == http.StatusPartialContent && got != wantRange {
			t.Fatalf("%s: got Content-Range %s, want %s", what, got, wantRange)
		}
	}
	_, err := b.PutObject(t.Context(), &s3.PutObjectInput{
		Bucket:      &b.name,
		Key:         aws.String("k"),
		Body:        strings.NewReader("x"),
		IfNoneMatch: aws.String("*"),
	})
	checkErrorCode(t, err, "PreconditionFailed")
}

func TestCopyAndDelete(t *testing.T) {
	const copies = 8 // enough that some copies are on the source's shard and some on other shards
	site := kit.Start(t, kit.Settings(4), nil)
	b := createBucket(t, site, "photos")
	checkCopies(t, b, copies)
	checkPartCopies(t, b)

	keys := []string{"from", "never", "parts", "large"}
	for i := range copies {
		keys = append(keys, fmt.Sprint("to ", i))
	}
	out := b.deleteObjects(t, keys)
	if len(out.Deleted) != len(keys) || len(out.Errors) > 0 {
		t.Fatalf("DeleteObjects: got %+v, want every key deleted and no errors", out)
	}
	kit.Must(b.DeleteBucket(t.Context(), &s3.DeleteBucketInput{Bucket: &b.name}))(t)
	if _, err := b.HeadBucket(t.Context(), &s3.HeadBucketInput{Bucket: &b.name}); err == nil {
		t.Fatal("HEAD of a deleted bucket: got no error, want an error")
	}
}

// checkCopies stores the object "from", copies it to the keys "to 0", "to 1" and so on, and checks every copy. It does
// so with a small object and then with a large one.
func checkCopies(t *testing.T, b testBucket, copies int) {
	t.Helper()
	for _, n := range []int{10, 500_000} {
		want := kit.RandomBytes(9, n)
		kit.Must(b.PutObject(t.Context(), &s3.PutObjectInput{
			Bucket:      &b.name,
			Key:         aws.String("from"),
			Body:        bytes.NewReader(want),
			ContentType: aws.String("image/png"),
			Metadata:    map[string]string{"a": "b"},
		}))(t)
		for i := range copies {
			to := fmt.Sprint("to ", i)
			in := &s3.CopyObjectInput{Bucket: &b.name, Key: &to, CopySource: b.copySource("from")}
			kit.Must(b.CopyObject(t.Context(), in))(t)
			get := kit.Must(b.GetObject(t.Context(), &s3.GetObjectInput{Bucket: &b.name, Key: &to}))(t)
			kit.CheckEqual(t, to, kit.ReadAll(t, get.Body), want)
			if *get.ContentType != "image/png" || get.Metadata["a"] != "b" {
				t.Fatalf("GET of a copy: got %+v, want the content type and metadata of the source", get)
			}
		}
	}
	in := &s3.CopyObjectInput{Bucket: &b.name, Key: aws.String("to 0"), CopySource: b.copySource("none")}
	_, err := b.CopyObject(t.Context(), in)
	checkErrorCode(t, err, "NoSuchKey")
}

// checkPartCopies stores the object "large". It then creates the object "parts" by a multipart upload whose parts are
// copies of two byte ranges of "large".
func checkPartCopies(t *testing.T, b testBucket) {
	t.Helper()
	want := kit.RandomBytes(4, 11<<20)
	u := startUpload(t, b, "parts", nil)
	b.put(t, "large", want)
	for _, r := range []string{"bytes=0-5242879", "bytes=5242880-11534335"} {
		u.copyPart(t, b.copySource("large"), r)
	}
	kit.Must(u.complete(t, u.parts))(t)
	b.checkContent(t, "parts", want)
}

func TestBuckets(t *testing.T) {
	site := kit.Start(t, kit.Settings(4), nil)
	createBucket(t, site, "photos-b")
	b := createBucket(t, site, "photos-a")
	createBucket(t, site, "closed-x") // a bucket on one shard only
	_, err := b.CreateBucket(t.Context(), &s3.CreateBucketInput{Bucket: &b.name})
	checkErrorCode(t, err, "BucketAlreadyOwnedByYou")
	l := kit.Must(b.ListBuckets(t.Context(), &s3.ListBucketsInput{}))(t)
	if len(l.Buckets) != 3 || *l.Buckets[0].Name != "closed-x" || *l.Buckets[2].Name != "photos-b" {
		t.Fatalf("ListBuckets: got %+v, want closed-x, photos-a and photos-b", l.Buckets)
	}
	b.put(t, "k", []byte("x"))
	_, err = b.DeleteBucket(t.Context(), &s3.DeleteBucketInput{Bucket: &b.name})
	checkErrorCode(t, err, "BucketNotEmpty")
	b.put(t, "k2", []byte("x")) // succeeds because the bucket still exists
}

func TestVirtualHostStyle(t *testing.T) {
	site := kit.Start(t, kit.Settings(2), nil)
	createBucket(t, site, "photos")
	_, port, err := net.SplitHostPort(site.Addr)
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct{ method, body, want string }{
		{http.MethodPut, "hello", ""},
		{http.MethodGet, "", "hello"},
	} {
		r := site.NewRequest(tt.method, "/line/k", strings.NewReader(tt.body))
		r.Host = "photos.localhost:" + port
		kit.SignRequest(r, kit.KeyID, kit.Secret, time.Now())
		resp := kit.Must(kit.RoundTrip(http.DefaultTransport, r))(t)
		checkStatus(t, tt.method, resp, http.StatusOK)
		if tt.method == http.MethodGet && string(resp.Body) != tt.want {
			t.Fatalf("GET: got body %q, want %q", resp.Body, tt.want)
		}
	}
}

// TestChunkedUpload checks that the gateway stores a body with chunked transfer coding whole. The request header does
// not state the length of such a body.
func TestChunkedUpload(t *testing.T) {
	site := kit.Start(t, kit.Settings(1), nil)
	createBucket(t, site, "photos")
	for _, n := range []int{0, 10, 300_000} {
		what := fmt.Sprint(n, " bytes")
		want := kit.RandomBytes(3, n)
		withoutLength := io.MultiReader(bytes.NewReader(want))
		checkStatus(t, what, site.Do(http.MethodPut, "/photos/k", nil, withoutLength), http.StatusOK)
		resp := site.Do(http.MethodGet, "/photos/k", nil, nil)
		kit.CheckEqual(t, what, resp.Body, want)
	}
}
