package e2e

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"

	"chalkstand/dispatch"
	kit "chalkstand/internal/testkit"
)

// multipartUpload is a multipart upload in progress, with the parts uploaded so far.
type multipartUpload struct {
	bucket testBucket
	key    string
	id     *string
	parts  []types.CompletedPart
}

func startUpload(t *testing.T, b testBucket, key string, contentType *string) *multipartUpload {
	t.Helper()
	in := &s3.CreateMultipartUploadInput{Bucket: &b.name, Key: &key, ContentType: contentType}
	out := kit.Must(b.CreateMultipartUpload(t.Context(), in))(t)
	return &multipartUpload{bucket: b, key: key, id: out.UploadId}
}

func (u *multipartUpload) nextPartNumber() *int32 {
	return aws.Int32(int32(len(u.parts) + 1))
}

// uploadPart uploads body as the next part.
func (u *multipartUpload) uploadPart(t *testing.T, body []byte) {
	t.Helper()
	number := u.nextPartNumber()
	out := kit.Must(u.bucket.UploadPart(t.Context(), &s3.UploadPartInput{
		Bucket:     &u.bucket.name,
		Key:        &u.key,
		UploadId:   u.id,
		PartNumber: number,
		Body:       bytes.NewReader(body),
	}))(t)
	u.parts = append(u.parts, types.CompletedPart{ETag: out.ETag, PartNumber: number})
}

// copyPart copies a byte range of an existing object as the next part.
func (u *multipartUpload) copyPart(t *testing.T, source *string, byteRange string) {
	t.Helper()
	number := u.nextPartNumber()
	out := kit.Must(u.bucket.UploadPartCopy(t.Context(), &s3.UploadPartCopyInput{
		Bucket:          &u.bucket.name,
		Key:             &u.key,
		UploadId:        u.id,
		PartNumber:      number,
		CopySource:      source,
		CopySourceRange: &byteRange,
	}))(t)
	u.parts = append(u.parts, types.CompletedPart{ETag: out.CopyPartResult.ETag, PartNumber: number})
}

func (u *multipartUpload) complete(
	t *testing.T, parts []types.CompletedPart,
) (*s3.CompleteMultipartUploadOutput, error) {
	t.Helper()
	return u.bucket.CompleteMultipartUpload(t.Context(), &s3.CompleteMultipartUploadInput{
		Bucket:          &u.bucket.name,
		Key:             &u.key,
		UploadId:        u.id,
		MultipartUpload: &types.CompletedMultipartUpload{Parts: parts},
	})
}

func (u *multipartUpload) list(t *testing.T, maxParts *int32) (*s3.ListPartsOutput, error) {
	t.Helper()
	in := &s3.ListPartsInput{Bucket: &u.bucket.name, Key: &u.key, UploadId: u.id, MaxParts: maxParts}
	return u.bucket.ListParts(t.Context(), in)
}

func TestMultipart(t *testing.T) {
	site := kit.Start(t, kit.Settings(3), nil)
	b := createBucket(t, site, "photos")
	u := startUpload(t, b, "big", aws.String("image/tiff"))
	var want []byte
	for i, n := range []int{5 << 20, 6 << 20, 100} {
		part := kit.RandomBytes(uint64(i), n)
		want = append(want, part...)
		u.uploadPart(t, part)
	}
	in := &s3.ListMultipartUploadsInput{Bucket: &b.name}
	uploads := kit.Must(b.ListMultipartUploads(t.Context(), in))(t).Uploads
	if len(uploads) != 1 || *uploads[0].Key != "big" {
		t.Fatalf("ListMultipartUploads: got %+v, want one upload with the key big", uploads)
	}
	page := kit.Must(u.list(t, aws.Int32(2)))(t)
	if len(page.Parts) != 2 || !*page.IsTruncated {
		t.Fatalf("ListParts: got %+v, want a truncated page of 2 parts", page)
	}
	reversed := slices.Clone(u.parts)
	slices.Reverse(reversed)
	_, err := u.complete(t, reversed)
	checkErrorCode(t, err, "InvalidPartOrder")
	completed := kit.Must(u.complete(t, u.parts))(t)
	if !strings.HasSuffix(*completed.ETag, `-3"`) {
		t.Fatalf("ETag of the completed object: got %s, want the suffix -3 of an upload with 3 parts", *completed.ETag)
	}
	b.checkContent(t, "big", want)

	u = startUpload(t, b, "big", nil)
	abort := &s3.AbortMultipartUploadInput{Bucket: &b.name, Key: &u.key, UploadId: u.id}
	kit.Must(b.AbortMultipartUpload(t.Context(), abort))(t)
	_, err = u.list(t, nil)
	checkErrorCode(t, err, "NoSuchUpload")
}

// TestMultipartUploadDuringNodeDrain checks that a multipart upload continues at another node of the shard when the
// shard's first node starts to drain, and that no new request reaches the draining node.
func TestMultipartUploadDuringNodeDrain(t *testing.T) {
	const (
		parts      = 6
		drainAfter = 3 // number of parts uploaded before the drain starts
	)
	site := kit.Start(t, kit.Settings(1), nil)
	b := createBucket(t, site, "photos")
	u := startUpload(t, b, "k", nil)
	draining := site.Nodes[0]
	var want []byte
	var drainStart time.Duration
	for i := range parts {
		if i == drainAfter {
			site.AddNode("successor", 0, nil)
			site.SetNodeState(draining, 0, dispatch.Draining)
			drainStart = time.Since(site.Epoch)
		}
		part := kit.RandomBytes(uint64(i), 5<<20)
		want = append(want, part...)
		u.uploadPart(t, part)
	}
	kit.Must(u.complete(t, u.parts))(t)
	b.checkContent(t, "k", want)
	for _, e := range draining.Log() {
		if e.Arrived > drainStart {
			t.Errorf("request for %s reached the draining node %v after the drain started", e.Path, e.Arrived-drainStart)
		}
	}
	checkAttemptsAreUnique(t, site.Log())
}
