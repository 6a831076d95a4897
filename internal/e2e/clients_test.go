// Package e2e drives a gateway on loopback sockets with real clients and with raw
// bytes, and compares what nodes and clients saw.
package e2e

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/aws/smithy-go"
	"github.com/minio/minio-go/v7"

	kit "chalkstand/internal/testkit"
)

var ctx = context.Background()

func bucket(t testing.TB, e *kit.Site, name string) *s3.Client {
	t.Helper()
	c := e.AWS()
	if _, err := c.CreateBucket(ctx, &s3.CreateBucketInput{Bucket: &name}); err != nil {
		t.Fatal(err)
	}
	return c
}

func code(err error) string {
	var e smithy.APIError
	if errors.As(err, &e) {
		return e.ErrorCode()
	}
	return fmt.Sprint(err)
}

func TestAWSClientPutsAndGets(t *testing.T) {
	e := kit.Start(t, kit.Settings(3), nil)
	c := bucket(t, e, "photos")
	for _, n := range []int{0, 1, 4096, 65536, 65537, 300_000, 8 << 20} {
		key := fmt.Sprintf("line 1/part+%d ü?&=%%.jpg", n)
		want := kit.Bytes(uint64(n), n)
		put, err := c.PutObject(ctx, &s3.PutObjectInput{
			Bucket: aws.String("photos"), Key: &key, Body: bytes.NewReader(want),
			ContentType: aws.String("image/jpeg"), Metadata: map[string]string{"line": "seven"},
		})
		if err != nil {
			t.Fatalf("%d bytes: %v", n, err)
		}
		get, err := c.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String("photos"), Key: &key})
		if err != nil {
			t.Fatalf("%d bytes: %v", n, err)
		}
		kit.Same(t, key, kit.ReadAll(t, get.Body), want)
		if *get.ETag != *put.ETag || *get.ContentType != "image/jpeg" || get.Metadata["line"] != "seven" || *get.ContentLength != int64(n) {
			t.Fatalf("%d bytes: %+v", n, get)
		}
		head, err := c.HeadObject(ctx, &s3.HeadObjectInput{Bucket: aws.String("photos"), Key: &key})
		if err != nil || *head.ContentLength != int64(n) || *head.ETag != *put.ETag {
			t.Fatalf("%d bytes: head %+v %v", n, head, err)
		}
	}
	_, err := c.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String("photos"), Key: aws.String("none")})
	if code(err) != "NoSuchKey" {
		t.Fatal(err)
	}
	_, err = c.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String("nowhere"), Key: aws.String("none")})
	if code(err) != "NoSuchBucket" {
		t.Fatal(err)
	}
}

func TestRangesAndConditions(t *testing.T) {
	e := kit.Start(t, kit.Settings(2), nil)
	c := bucket(t, e, "photos")
	body := kit.Bytes(1, 200_000)
	put := kit.Must(c.PutObject(ctx, &s3.PutObjectInput{Bucket: aws.String("photos"), Key: aws.String("k"), Body: bytes.NewReader(body)}))(t)
	etag := *put.ETag
	later, earlier := time.Now().Add(time.Hour).UTC().Format(http.TimeFormat), time.Now().Add(-time.Hour).UTC().Format(http.TimeFormat)
	for _, x := range []struct {
		name, value string
		second      [2]string
		status      int
		from, to    int
	}{
		{"Range", "bytes=0-0", [2]string{}, 206, 0, 1},
		{"Range", "bytes=100-65635", [2]string{}, 206, 100, 65636},
		{"Range", "bytes=1000-", [2]string{}, 206, 1000, 200_000},
		{"Range", "bytes=-70000", [2]string{}, 206, 130_000, 200_000},
		{"Range", "bytes=-999999", [2]string{}, 206, 0, 200_000},
		{"Range", "bytes=199999-300000", [2]string{}, 206, 199_999, 200_000},
		{"Range", "bytes=200000-", [2]string{}, 416, 0, 0},
		{"Range", "bytes=-0", [2]string{}, 416, 0, 0},
		{"Range", "bytes=5-2", [2]string{}, 200, 0, 200_000},
		{"Range", "lines=1-2", [2]string{}, 200, 0, 200_000},
		{"If-Match", etag, [2]string{}, 200, 0, 200_000},
		{"If-Match", `"other"`, [2]string{}, 412, 0, 0},
		{"If-None-Match", etag, [2]string{}, 304, 0, 0},
		{"If-None-Match", `"other"`, [2]string{}, 200, 0, 200_000},
		{"If-Modified-Since", later, [2]string{}, 304, 0, 0},
		{"If-Modified-Since", earlier, [2]string{}, 200, 0, 200_000},
		{"If-Unmodified-Since", earlier, [2]string{}, 412, 0, 0},
		{"If-Unmodified-Since", later, [2]string{}, 200, 0, 200_000},
		{"If-Match", etag, [2]string{"If-Unmodified-Since", earlier}, 200, 0, 200_000},
		{"Range", "bytes=0-9", [2]string{"If-Range", etag}, 206, 0, 10},
		{"Range", "bytes=0-9", [2]string{"If-Range", `"other"`}, 200, 0, 200_000},
	} {
		h := http.Header{x.name: {x.value}}
		if x.second[0] != "" {
			h.Set(x.second[0], x.second[1])
		}
		resp := e.Signed("GET", "/photos/k", h, nil)
		got := kit.ReadAll(t, resp.Body)
		if resp.StatusCode != x.status {
			t.Fatalf("%v: status %d, want %d", h, resp.StatusCode, x.status)
		}
		if x.to > 0 {
			kit.Same(t, fmt.Sprint(h), got, body[x.from:x.to])
		}
		if x.status == 206 && resp.Header.Get("Content-Range") != fmt.Sprintf("bytes %d-%d/200000", x.from, x.to-1) {
			t.Fatalf("%v: %s", h, resp.Header.Get("Content-Range"))
		}
	}
	if _, err := c.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String("photos"), Key: aws.String("k"), Body: strings.NewReader("x"),
		IfNoneMatch: aws.String("*"),
	}); code(err) != "PreconditionFailed" {
		t.Fatal(err)
	}
}

func TestListsOverShards(t *testing.T) {
	e := kit.Start(t, kit.Settings(4), nil)
	c := bucket(t, e, "photos")
	var want []string
	for i := range 57 {
		want = append(want, fmt.Sprintf("day-%02d/line %d/x", i%7, i), fmt.Sprintf("top&%02d", i))
	}
	slices.Sort(want)
	for _, k := range want {
		kit.Must(c.PutObject(ctx, &s3.PutObjectInput{Bucket: aws.String("photos"), Key: aws.String(k), Body: strings.NewReader("x")}))(t)
	}
	var got []string
	pages := s3.NewListObjectsV2Paginator(c, &s3.ListObjectsV2Input{Bucket: aws.String("photos"), MaxKeys: aws.Int32(10)})
	for pages.HasMorePages() {
		p := kit.Must(pages.NextPage(ctx))(t)
		if len(p.Contents) > 10 {
			t.Fatalf("%d on a page", len(p.Contents))
		}
		for _, o := range p.Contents {
			got = append(got, *o.Key)
		}
	}
	if !slices.Equal(got, want) {
		t.Fatalf("listed %d of %d", len(got), len(want))
	}
	got = nil
	pages = s3.NewListObjectsV2Paginator(c, &s3.ListObjectsV2Input{Bucket: aws.String("photos"), MaxKeys: aws.Int32(3), Delimiter: aws.String("/")})
	for pages.HasMorePages() {
		p := kit.Must(pages.NextPage(ctx))(t)
		for _, x := range p.CommonPrefixes {
			got = append(got, *x.Prefix)
		}
		for _, x := range p.Contents {
			got = append(got, *x.Key)
		}
	}
	if len(got) != 7+57 || got[0] != "day-00/" || got[6] != "day-06/" || got[7] != "top&00" {
		t.Fatalf("by delimiter: %d: %v", len(got), got)
	}
	marker := ""
	got = nil
	for {
		p := kit.Must(c.ListObjects(ctx, &s3.ListObjectsInput{
			Bucket: aws.String("photos"), Marker: &marker, MaxKeys: aws.Int32(4),
			Prefix: aws.String("day-"), Delimiter: aws.String("/"),
		}))(t)
		for _, x := range p.CommonPrefixes {
			got = append(got, *x.Prefix)
		}
		if !*p.IsTruncated {
			break
		}
		marker = *p.NextMarker
	}
	if len(got) != 7 {
		t.Fatalf("version 1: %v", got)
	}
	m := e.Minio()
	n := 0
	for o := range m.ListObjects(ctx, "photos", minio.ListObjectsOptions{Recursive: true}) {
		if o.Err != nil {
			t.Fatal(o.Err)
		}
		if o.Key != want[n] {
			t.Fatalf("minio-go lists %q, want %q", o.Key, want[n])
		}
		n++
	}
	if n != len(want) {
		t.Fatalf("minio-go lists %d", n)
	}
}

func TestMultipart(t *testing.T) {
	e := kit.Start(t, kit.Settings(3), nil)
	c := bucket(t, e, "photos")
	key := aws.String("big")
	up := kit.Must(c.CreateMultipartUpload(ctx, &s3.CreateMultipartUploadInput{Bucket: aws.String("photos"), Key: key, ContentType: aws.String("image/tiff")}))(t)
	var parts []types.CompletedPart
	var want []byte
	for i, n := range []int{5 << 20, 6 << 20, 100} {
		b := kit.Bytes(uint64(i), n)
		want = append(want, b...)
		p := kit.Must(c.UploadPart(ctx, &s3.UploadPartInput{
			Bucket: aws.String("photos"), Key: key, UploadId: up.UploadId,
			PartNumber: aws.Int32(int32(i + 1)), Body: bytes.NewReader(b),
		}))(t)
		parts = append(parts, types.CompletedPart{ETag: p.ETag, PartNumber: aws.Int32(int32(i + 1))})
	}
	ups := kit.Must(c.ListMultipartUploads(ctx, &s3.ListMultipartUploadsInput{Bucket: aws.String("photos")}))(t)
	if len(ups.Uploads) != 1 || *ups.Uploads[0].Key != "big" {
		t.Fatalf("%+v", ups.Uploads)
	}
	lp := kit.Must(c.ListParts(ctx, &s3.ListPartsInput{Bucket: aws.String("photos"), Key: key, UploadId: up.UploadId, MaxParts: aws.Int32(2)}))(t)
	if len(lp.Parts) != 2 || !*lp.IsTruncated {
		t.Fatalf("%+v", lp)
	}
	bad := slices.Clone(parts)
	slices.Reverse(bad)
	if _, err := c.CompleteMultipartUpload(ctx, &s3.CompleteMultipartUploadInput{
		Bucket: aws.String("photos"), Key: key, UploadId: up.UploadId,
		MultipartUpload: &types.CompletedMultipartUpload{Parts: bad},
	}); code(err) != "InvalidPartOrder" {
		t.Fatal(err)
	}
	done := kit.Must(c.CompleteMultipartUpload(ctx, &s3.CompleteMultipartUploadInput{
		Bucket: aws.String("photos"), Key: key, UploadId: up.UploadId,
		MultipartUpload: &types.CompletedMultipartUpload{Parts: parts},
	}))(t)
	if !strings.HasSuffix(*done.ETag, `-3"`) {
		t.Fatal(*done.ETag)
	}
	get := kit.Must(c.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String("photos"), Key: key}))(t)
	kit.Same(t, "the object", kit.ReadAll(t, get.Body), want)
	up = kit.Must(c.CreateMultipartUpload(ctx, &s3.CreateMultipartUploadInput{Bucket: aws.String("photos"), Key: key}))(t)
	kit.Must(c.AbortMultipartUpload(ctx, &s3.AbortMultipartUploadInput{Bucket: aws.String("photos"), Key: key, UploadId: up.UploadId}))(t)
	if _, err := c.ListParts(ctx, &s3.ListPartsInput{Bucket: aws.String("photos"), Key: key, UploadId: up.UploadId}); code(err) != "NoSuchUpload" {
		t.Fatal(err)
	}
}

func TestCopyAndDelete(t *testing.T) {
	e := kit.Start(t, kit.Settings(4), nil)
	c := bucket(t, e, "photos")
	for _, n := range []int{10, 500_000} {
		want := kit.Bytes(9, n)
		kit.Must(c.PutObject(ctx, &s3.PutObjectInput{
			Bucket: aws.String("photos"), Key: aws.String("from"), Body: bytes.NewReader(want),
			ContentType: aws.String("image/png"), Metadata: map[string]string{"a": "b"},
		}))(t)
		for i := range 8 { // to other shards and to the same one
			to := aws.String(fmt.Sprint("to ", i))
			kit.Must(c.CopyObject(ctx, &s3.CopyObjectInput{Bucket: aws.String("photos"), Key: to, CopySource: aws.String("photos/from")}))(t)
			get := kit.Must(c.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String("photos"), Key: to}))(t)
			kit.Same(t, *to, kit.ReadAll(t, get.Body), want)
			if *get.ContentType != "image/png" || get.Metadata["a"] != "b" {
				t.Fatalf("%+v", get)
			}
		}
	}
	if _, err := c.CopyObject(ctx, &s3.CopyObjectInput{Bucket: aws.String("photos"), Key: aws.String("to 0"), CopySource: aws.String("photos/none")}); code(err) != "NoSuchKey" {
		t.Fatal(err)
	}
	up := kit.Must(c.CreateMultipartUpload(ctx, &s3.CreateMultipartUploadInput{Bucket: aws.String("photos"), Key: aws.String("parts")}))(t)
	var parts []types.CompletedPart
	kit.Must(c.PutObject(ctx, &s3.PutObjectInput{Bucket: aws.String("photos"), Key: aws.String("large"), Body: bytes.NewReader(kit.Bytes(4, 11<<20))}))(t)
	for i, r := range []string{"bytes=0-5242879", "bytes=5242880-11534335"} {
		p := kit.Must(c.UploadPartCopy(ctx, &s3.UploadPartCopyInput{
			Bucket: aws.String("photos"), Key: aws.String("parts"), UploadId: up.UploadId,
			PartNumber: aws.Int32(int32(i + 1)), CopySource: aws.String("photos/large"), CopySourceRange: &r,
		}))(t)
		parts = append(parts, types.CompletedPart{PartNumber: aws.Int32(int32(i + 1)), ETag: p.CopyPartResult.ETag})
	}
	kit.Must(c.CompleteMultipartUpload(ctx, &s3.CompleteMultipartUploadInput{
		Bucket: aws.String("photos"), Key: aws.String("parts"), UploadId: up.UploadId,
		MultipartUpload: &types.CompletedMultipartUpload{Parts: parts},
	}))(t)
	get := kit.Must(c.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String("photos"), Key: aws.String("parts")}))(t)
	kit.Same(t, "parts", kit.ReadAll(t, get.Body), kit.Bytes(4, 11<<20))

	ids := []types.ObjectIdentifier{{Key: aws.String("from")}, {Key: aws.String("never")}, {Key: aws.String("parts")}, {Key: aws.String("large")}}
	for i := range 8 {
		ids = append(ids, types.ObjectIdentifier{Key: aws.String(fmt.Sprint("to ", i))})
	}
	del := kit.Must(c.DeleteObjects(ctx, &s3.DeleteObjectsInput{Bucket: aws.String("photos"), Delete: &types.Delete{Objects: ids}}))(t)
	if len(del.Deleted) != len(ids) || len(del.Errors) > 0 {
		t.Fatalf("%+v", del)
	}
	kit.Must(c.DeleteBucket(ctx, &s3.DeleteBucketInput{Bucket: aws.String("photos")}))(t)
	if _, err := c.HeadBucket(ctx, &s3.HeadBucketInput{Bucket: aws.String("photos")}); err == nil {
		t.Fatal("the bucket is still there")
	}
}

func TestBuckets(t *testing.T) {
	e := kit.Start(t, kit.Settings(4), nil)
	c := bucket(t, e, "photos-b")
	bucket(t, e, "photos-a")
	bucket(t, e, "closed-x") // on one shard
	if _, err := c.CreateBucket(ctx, &s3.CreateBucketInput{Bucket: aws.String("photos-a")}); code(err) != "BucketAlreadyOwnedByYou" {
		t.Fatal(err)
	}
	l := kit.Must(c.ListBuckets(ctx, &s3.ListBucketsInput{}))(t)
	if len(l.Buckets) != 3 || *l.Buckets[0].Name != "closed-x" || *l.Buckets[2].Name != "photos-b" {
		t.Fatalf("%+v", l.Buckets)
	}
	kit.Must(c.PutObject(ctx, &s3.PutObjectInput{Bucket: aws.String("photos-a"), Key: aws.String("k"), Body: strings.NewReader("x")}))(t)
	if _, err := c.DeleteBucket(ctx, &s3.DeleteBucketInput{Bucket: aws.String("photos-a")}); code(err) != "BucketNotEmpty" {
		t.Fatal(err)
	}
	if _, err := c.PutObject(ctx, &s3.PutObjectInput{Bucket: aws.String("photos-a"), Key: aws.String("k2"), Body: strings.NewReader("x")}); err != nil {
		t.Fatal("a refused DeleteBucket has taken the bucket away:", err)
	}
}

func TestMinioClient(t *testing.T) {
	e := kit.Start(t, kit.Settings(3), nil)
	m := e.Minio()
	if err := m.MakeBucket(ctx, "photos", minio.MakeBucketOptions{}); err != nil {
		t.Fatal(err)
	}
	for _, n := range []int{0, 100, 70_000, 17 << 20} {
		want := kit.Bytes(uint64(n), n)
		if _, err := m.PutObject(ctx, "photos", "dir/x", bytes.NewReader(want), int64(n), minio.PutObjectOptions{PartSize: 6 << 20, UserMetadata: map[string]string{"a": "b"}}); err != nil {
			t.Fatalf("%d bytes: %v", n, err)
		}
		o := kit.Must(m.GetObject(ctx, "photos", "dir/x", minio.GetObjectOptions{}))(t)
		kit.Same(t, fmt.Sprint(n, " bytes"), kit.ReadAll(t, io.NopCloser(o)), want)
		st := kit.Must(m.StatObject(ctx, "photos", "dir/x", minio.StatObjectOptions{}))(t)
		if st.Size != int64(n) || st.UserMetadata["A"] != "b" {
			t.Fatalf("%+v", st)
		}
	}
	// A stream of unknown length goes in parts.
	want := kit.Bytes(5, 7<<20)
	if _, err := m.PutObject(ctx, "photos", "stream", io.MultiReader(bytes.NewReader(want)), -1, minio.PutObjectOptions{PartSize: 5 << 20}); err != nil {
		t.Fatal(err)
	}
	u := kit.Must(m.PresignedGetObject(ctx, "photos", "stream", time.Minute, nil))(t)
	resp := kit.Must(http.Get(u.String()))(t)
	kit.Same(t, "presigned", kit.ReadAll(t, resp.Body), want)
	if _, err := m.CopyObject(ctx, minio.CopyDestOptions{Bucket: "photos", Object: "copy"}, minio.CopySrcOptions{Bucket: "photos", Object: "stream"}); err != nil {
		t.Fatal(err)
	}
	ch := make(chan minio.ObjectInfo, 3)
	for _, k := range []string{"dir/x", "stream", "copy"} {
		ch <- minio.ObjectInfo{Key: k}
	}
	close(ch)
	for r := range m.RemoveObjects(ctx, "photos", ch, minio.RemoveObjectsOptions{}) {
		t.Fatal(r.Err)
	}
	if err := m.RemoveBucket(ctx, "photos"); err != nil {
		t.Fatal(err)
	}
}
