// Package e2e tests a gateway end to end on loopback sockets. The tests send requests with real client libraries or
// byte by byte, and check the responses and the requests that reach the storage nodes.
package e2e

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/aws/smithy-go"
	"github.com/minio/minio-go/v7"

	"chalkstand/fake/storagenode"
	kit "chalkstand/internal/testkit"
)

const (
	connTimeout  = 10 * time.Second // deadline of connections that tests read and write byte by byte
	waitTimeout  = 10 * time.Second // longest wait in waitFor
	waitInterval = time.Millisecond // pause between two checks in waitFor
)

// testBucket is a bucket together with the SDK client that a test uses to access the bucket.
type testBucket struct {
	*s3.Client
	name string
}

func createBucket(t *testing.T, site *kit.Site, name string) testBucket {
	t.Helper()
	c := site.AWSClient()
	if _, err := c.CreateBucket(t.Context(), &s3.CreateBucketInput{Bucket: &name}); err != nil {
		t.Fatal(err)
	}
	return testBucket{Client: c, name: name}
}

func (b testBucket) put(t *testing.T, key string, body []byte) {
	t.Helper()
	in := &s3.PutObjectInput{Bucket: &b.name, Key: &key, Body: bytes.NewReader(body)}
	if _, err := b.PutObject(t.Context(), in); err != nil {
		t.Fatalf("PUT %s: %v", key, err)
	}
}

func (b testBucket) get(t *testing.T, key string) []byte {
	t.Helper()
	out, err := b.GetObject(t.Context(), &s3.GetObjectInput{Bucket: &b.name, Key: &key})
	if err != nil {
		t.Fatalf("GET %s: %v", key, err)
	}
	return kit.ReadAll(t, out.Body)
}

func (b testBucket) checkContent(t *testing.T, key string, want []byte) {
	t.Helper()
	kit.CheckEqual(t, key, b.get(t, key), want)
}

func (b testBucket) copySource(key string) *string {
	return aws.String(b.name + "/" + key)
}

// deleteObjects deletes the objects with the given keys in one request.
func (b testBucket) deleteObjects(t *testing.T, keys []string) *s3.DeleteObjectsOutput {
	t.Helper()
	var ids []types.ObjectIdentifier
	for _, k := range keys {
		ids = append(ids, types.ObjectIdentifier{Key: aws.String(k)})
	}
	in := &s3.DeleteObjectsInput{Bucket: &b.name, Delete: &types.Delete{Objects: ids}}
	return kit.Must(b.DeleteObjects(t.Context(), in))(t)
}

// errorCode returns the code of an S3 error response, or the text of an error of another kind.
func errorCode(err error) string {
	var e smithy.APIError
	if errors.As(err, &e) {
		return e.ErrorCode()
	}
	return fmt.Sprint(err)
}

func checkErrorCode(t *testing.T, err error, want string) {
	t.Helper()
	if errorCode(err) != want {
		t.Errorf("got error %v, want error code %s", err, want)
	}
}

// putWithMinio puts an object with minio-go in a single request, without a multipart upload.
func putWithMinio(t *testing.T, m *minio.Client, bucket, key string, body []byte) error {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	opts := minio.PutObjectOptions{DisableMultipart: true}
	_, err := m.PutObject(ctx, bucket, key, bytes.NewReader(body), int64(len(body)), opts)
	return err
}

// checkStatus stops the test if the status of the response is not the wanted status.
func checkStatus(t *testing.T, what string, resp kit.Response, want int) {
	t.Helper()
	if resp.Status != want {
		t.Fatalf("%s: got response %v, want status %d", what, resp, want)
	}
}

// exchangeRaw opens a new connection and sends text. It returns all bytes that the gateway sends until the gateway
// closes the connection.
func exchangeRaw(t *testing.T, site *kit.Site, text string) string {
	t.Helper()
	c := site.Dial()
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(connTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("read from the gateway after %q: %v", b, err)
	}
	return string(b)
}

// requestText returns a signed request in the form in which a client sends it.
func requestText(t *testing.T, site *kit.Site, method, path string, body io.Reader) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := site.NewRequest(method, path, body).Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// headerText returns the header lines in the form in which a client sends them.
func headerText(t *testing.T, h http.Header) string {
	t.Helper()
	var b bytes.Buffer
	if err := h.Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// waitFor calls holds repeatedly until it returns true, and stops the test if that takes longer than waitTimeout.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(waitInterval) {
		if time.Now().After(end) {
			t.Fatalf("wait until %s: condition does not hold after %v", what, waitTimeout)
		}
	}
}

func waitUntilIdle(t *testing.T, site *kit.Site) {
	t.Helper()
	waitFor(t, "no request is in flight", func() bool { return site.Gateway.InFlight() == 0 })
}

// checkAttemptsAreUnique checks that no attempt of a request reached the nodes twice.
func checkAttemptsAreUnique(t *testing.T, log []storagenode.LogEntry) {
	t.Helper()
	type attemptID struct {
		request uint64
		attempt int
	}
	seen := map[attemptID]bool{}
	for _, e := range log {
		id := attemptID{request: e.Request, attempt: e.Attempt}
		if seen[id] {
			t.Errorf("request %d: attempt %d reached the nodes twice, want once", id.request, id.attempt)
		}
		seen[id] = true
	}
}

// checkStoredObjects checks how many objects of a bucket the site's first shard stores.
func checkStoredObjects(t *testing.T, site *kit.Site, bucket string, want int) {
	t.Helper()
	if n := site.Data[0].Objects(bucket); n != want {
		t.Errorf("objects stored in shard 0: got %d, want %d", n, want)
	}
}

// checkNothingReachedNodes checks that no request has reached a node since an earlier time. The argument before is the
// length of site.Log() at that time.
func checkNothingReachedNodes(t *testing.T, site *kit.Site, before int) {
	t.Helper()
	if log := site.Log(); len(log) != before {
		t.Fatalf("%d requests reached a node, want none; the last one: %+v", len(log)-before, log[len(log)-1])
	}
}
