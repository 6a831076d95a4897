package e2e

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/minio/minio-go/v7"

	kit "chalkstand/internal/testkit"
)

func TestMinioClient(t *testing.T) {
	site := kit.Start(t, kit.Settings(3), nil)
	m := site.MinioClient()
	if err := m.MakeBucket(t.Context(), "photos", minio.MakeBucketOptions{}); err != nil {
		t.Fatal(err)
	}
	for _, n := range []int{0, 100, 70_000, 17 << 20} {
		t.Run(fmt.Sprint(n, " bytes"), func(t *testing.T) { checkMinioPutAndGet(t, m, n) })
	}
	checkMinioStream(t, m)
	deleteWithMinio(t, m, "photos", []string{"dir/x", "stream", "copy"})
	if err := m.RemoveBucket(t.Context(), "photos"); err != nil {
		t.Fatal(err)
	}
}

func checkMinioPutAndGet(t *testing.T, m *minio.Client, n int) {
	t.Helper()
	want := kit.RandomBytes(uint64(n), n)
	opts := minio.PutObjectOptions{PartSize: 6 << 20, UserMetadata: map[string]string{"a": "b"}}
	if _, err := m.PutObject(t.Context(), "photos", "dir/x", bytes.NewReader(want), int64(n), opts); err != nil {
		t.Fatal(err)
	}
	o := kit.Must(m.GetObject(t.Context(), "photos", "dir/x", minio.GetObjectOptions{}))(t)
	kit.CheckEqual(t, "dir/x", kit.ReadAll(t, o), want)
	info := kit.Must(m.StatObject(t.Context(), "photos", "dir/x", minio.StatObjectOptions{}))(t)
	if info.Size != int64(n) || info.UserMetadata["A"] != "b" {
		t.Fatalf("StatObject dir/x: got %+v, want the stored object's size and metadata", info)
	}
}

// checkMinioStream stores a body of unknown length as the object "stream", which minio-go uploads in parts. It then
// reads "stream" with a presigned URL and copies "stream" to "copy".
func checkMinioStream(t *testing.T, m *minio.Client) {
	t.Helper()
	want := kit.RandomBytes(5, 7<<20)
	body := io.MultiReader(bytes.NewReader(want))
	opts := minio.PutObjectOptions{PartSize: 5 << 20}
	if _, err := m.PutObject(t.Context(), "photos", "stream", body, -1, opts); err != nil {
		t.Fatal(err)
	}
	u := kit.Must(m.PresignedGetObject(t.Context(), "photos", "stream", time.Minute, nil))(t)
	kit.CheckEqual(t, "GET of a presigned URL", kit.Get(t, u.String()).Body, want)
	to := minio.CopyDestOptions{Bucket: "photos", Object: "copy"}
	from := minio.CopySrcOptions{Bucket: "photos", Object: "stream"}
	if _, err := m.CopyObject(t.Context(), to, from); err != nil {
		t.Fatal(err)
	}
}

func deleteWithMinio(t *testing.T, m *minio.Client, bucket string, keys []string) {
	t.Helper()
	objects := make(chan minio.ObjectInfo, len(keys))
	for _, k := range keys {
		objects <- minio.ObjectInfo{Key: k}
	}
	close(objects)
	for r := range m.RemoveObjects(t.Context(), bucket, objects, minio.RemoveObjectsOptions{}) {
		t.Fatal(r.Err)
	}
}
