// Package e2e tests a gateway on loopback sockets, with real clients and with requests written byte by
// byte, and compares what nodes and clients saw.
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
	connTimeout = 10 * time.Second // of the connections that tests read and write themselves
	waitTimeout = 10 * time.Second // of waitFor
	waitPoll    = time.Millisecond
)

// testBucket is a bucket and an SDK client with which a test uses it.
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
		t.Fatalf("put %s: %v", key, err)
	}
}

func (b testBucket) get(t *testing.T, key string) []byte {
	t.Helper()
	out, err := b.GetObject(t.Context(), &s3.GetObjectInput{Bucket: &b.name, Key: &key})
	if err != nil {
		t.Fatalf("get %s: %v", key, err)
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

// deleteObjects deletes several objects with one request.
func (b testBucket) deleteObjects(t *testing.T, keys []string) *s3.DeleteObjectsOutput {
	t.Helper()
	var ids []types.ObjectIdentifier
	for _, k := range keys {
		ids = append(ids, types.ObjectIdentifier{Key: aws.String(k)})
	}
	in := &s3.DeleteObjectsInput{Bucket: &b.name, Delete: &types.Delete{Objects: ids}}
	return kit.Must(b.DeleteObjects(t.Context(), in))(t)
}

// errorCode returns the code of an error response, and the text of any other error.
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
		t.Errorf("%v, want the error code %s", err, want)
	}
}

// putWithMinio puts an object with one request of minio-go.
func putWithMinio(t *testing.T, m *minio.Client, bucket, key string, body []byte) error {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	opts := minio.PutObjectOptions{DisableMultipart: true}
	_, err := m.PutObject(ctx, bucket, key, bytes.NewReader(body), int64(len(body)), opts)
	return err
}

// checkStatus fails the test when a response has another status.
func checkStatus(t *testing.T, what string, resp kit.Response, want int) {
	t.Helper()
	if resp.Status != want {
		t.Fatalf("%s: %v, want status %d", what, resp, want)
	}
}

// exchangeRaw sends text on a connection of its own and returns all that comes back until the gateway
// closes it.
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
		t.Fatalf("after %q: %v", b, err)
	}
	return string(b)
}

// requestText returns the bytes of a signed request.
func requestText(t *testing.T, site *kit.Site, method, path string, body io.Reader) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := site.NewRequest(method, path, body).Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// headerText returns header lines as they are sent.
func headerText(t *testing.T, h http.Header) string {
	t.Helper()
	var b bytes.Buffer
	if err := h.Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// waitFor polls until a condition holds, and fails the test when it does not within waitTimeout.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(waitPoll) {
		if time.Now().After(end) {
			t.Fatalf("%s: not after %v", what, waitTimeout)
		}
	}
}

func waitUntilIdle(t *testing.T, site *kit.Site) {
	t.Helper()
	waitFor(t, "no request in flight", func() bool { return site.Gateway.InFlight() == 0 })
}

// checkAttemptsAreUnique checks that no attempt of a request reached nodes twice.
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
			t.Errorf("request %d: attempt %d reached nodes twice", id.request, id.attempt)
		}
		seen[id] = true
	}
}

// checkStoredObjects checks how many objects the site's first shard holds of a bucket.
func checkStoredObjects(t *testing.T, site *kit.Site, bucket string, want int) {
	t.Helper()
	if n := site.Data[0].Objects(bucket); n != want {
		t.Errorf("%d objects stored, want %d", n, want)
	}
}

// checkNothingReachedNodes checks that no request has reached a node since there were so many.
func checkNothingReachedNodes(t *testing.T, site *kit.Site, before int) {
	t.Helper()
	if log := site.Log(); len(log) != before {
		t.Fatalf("%d requests reached a node, the last one %+v", len(log)-before, log[len(log)-1])
	}
}
