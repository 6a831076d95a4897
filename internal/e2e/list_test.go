package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/minio/minio-go/v7"

	"chalkstand/fake/storagenode"
	kit "chalkstand/internal/testkit"
)

// TestListsAcrossShards checks that listing a bucket with several shards returns every key in order, page by page,
// with both versions of the list request.
func TestListsAcrossShards(t *testing.T) {
	const (
		days = 7  // number of prefixes "day-NN/"
		keys = 57 // number of keys with such a prefix, and number of keys without a prefix
	)
	site := kit.Start(t, kit.Settings(4), nil)
	b := createBucket(t, site, "photos")
	var want []string
	for i := range keys {
		want = append(want, fmt.Sprintf("day-%02d/line %d/x", i%days, i), fmt.Sprintf("top&%02d", i))
	}
	slices.Sort(want)
	for _, k := range want {
		b.put(t, k, []byte("x"))
	}
	t.Run("version 2", func(t *testing.T) {
		got := listVersion2(t, b, 10, nil)
		if !slices.Equal(got, want) {
			t.Fatalf("keys: got %d, want the stored %d in order", len(got), len(want))
		}
	})
	t.Run("version 2 with delimiter", func(t *testing.T) {
		got := listVersion2(t, b, 3, aws.String("/"))
		if len(got) != days+keys || got[0] != "day-00/" || got[6] != "day-06/" || got[7] != "top&00" {
			t.Fatalf("got %d entries, want the 7 prefixes and then the 57 keys without a prefix: %v", len(got), got)
		}
	})
	t.Run("version 1 with delimiter", func(t *testing.T) {
		if got := listPrefixesVersion1(t, b, "day-"); len(got) != days {
			t.Fatalf("got prefixes %v, want 7 of them", got)
		}
	})
	t.Run("minio-go", func(t *testing.T) {
		got := listWithMinio(t, site.MinioClient(), b.name)
		if !slices.Equal(got, want) {
			t.Fatalf("got keys %q, want %q", got, want)
		}
	})
}

// listVersion2 lists a bucket with ListObjectsV2 in pages of at most maxKeys keys. It returns the common prefixes and
// then the keys of the first page, followed by those of the next pages.
func listVersion2(t *testing.T, b testBucket, maxKeys int, delimiter *string) []string {
	t.Helper()
	var got []string
	pages := s3.NewListObjectsV2Paginator(b, &s3.ListObjectsV2Input{
		Bucket:    &b.name,
		MaxKeys:   aws.Int32(int32(maxKeys)),
		Delimiter: delimiter,
	})
	for pages.HasMorePages() {
		page := kit.Must(pages.NextPage(t.Context()))(t)
		if len(page.Contents) > maxKeys {
			t.Fatalf("keys on a page: got %d, want at most %d", len(page.Contents), maxKeys)
		}
		got = append(got, prefixesOf(page.CommonPrefixes)...)
		for _, o := range page.Contents {
			got = append(got, *o.Key)
		}
	}
	return got
}

// listPrefixesVersion1 lists the keys that begin with prefix, using ListObjects in pages of at most 4 entries. It
// returns the common prefixes of these keys up to the delimiter "/".
func listPrefixesVersion1(t *testing.T, b testBucket, prefix string) []string {
	t.Helper()
	var got []string
	marker := ""
	for {
		page := kit.Must(b.ListObjects(t.Context(), &s3.ListObjectsInput{
			Bucket:    &b.name,
			Marker:    &marker,
			MaxKeys:   aws.Int32(4),
			Prefix:    &prefix,
			Delimiter: aws.String("/"),
		}))(t)
		got = append(got, prefixesOf(page.CommonPrefixes)...)
		if !*page.IsTruncated {
			return got
		}
		marker = *page.NextMarker
	}
}

func prefixesOf(common []types.CommonPrefix) []string {
	var prefixes []string
	for _, p := range common {
		prefixes = append(prefixes, *p.Prefix)
	}
	return prefixes
}

func listWithMinio(t *testing.T, m *minio.Client, bucket string) []string {
	t.Helper()
	var keys []string
	for o := range m.ListObjects(t.Context(), bucket, minio.ListObjectsOptions{Recursive: true}) {
		if o.Err != nil {
			t.Fatal(o.Err)
		}
		keys = append(keys, o.Key)
	}
	return keys
}

// TestListWithFailedShard checks that the gateway rejects a list request if one shard fails, because a list without
// that shard's keys would look complete. It also checks that the response to a request that deletes several objects
// names the objects that were not deleted.
func TestListWithFailedShard(t *testing.T) {
	const objects = 20
	site := kit.Start(t, kit.Settings(3), nil)
	b := createBucket(t, site, "photos")
	var keys []string
	for i := range objects {
		keys = append(keys, fmt.Sprint("k", i))
		site.Do(http.MethodPut, "/photos/"+keys[i], nil, strings.NewReader("x"))
	}
	for _, tt := range []struct {
		name  string
		fault storagenode.FaultKind
	}{
		{"node rejects", storagenode.Reject},
		{"node fails", storagenode.ServerError},
	} {
		site.Nodes[1].Inject(storagenode.Fault{Kind: tt.fault})
		for _, query := range []string{"", "?list-type=2", "?uploads"} {
			resp := site.Do(http.MethodGet, "/photos"+query, nil, nil)
			if resp.Status != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
				t.Errorf("%s, list with query %q: got %v, want status 503 and Retry-After", tt.name, query, resp)
			}
			if strings.Contains(string(resp.Body), "<Key>") {
				t.Errorf("%s, list with query %q: got keys, want none: %v", tt.name, query, resp)
			}
		}
		out := b.deleteObjects(t, keys)
		if len(out.Deleted) == 0 || len(out.Errors) == 0 || len(out.Deleted)+len(out.Errors) != objects {
			t.Errorf("%s: got %d deleted objects and %d errors, want some of each and 20 in total",
				tt.name, len(out.Deleted), len(out.Errors))
		}
		site.Nodes[1].ClearFaults()
	}
	waitFor(t, "the node is no longer ejected", func() bool {
		resp := site.Do(http.MethodGet, "/photos", nil, nil)
		return resp.Status == http.StatusOK && strings.Contains(string(resp.Body), "<Key>")
	})
}
