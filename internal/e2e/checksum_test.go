package e2e

import (
	"bytes"
	"crypto/md5"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	kit "chalkstand/internal/testkit"
)

// bodySizes holds two body sizes in bytes. The gateway buffers a whole body of the first size before it sends the
// body to a node, and streams a body of the second size.
var bodySizes = []int{100, 300_000}

// TestBodyWithWrongDigestIsNotStored checks that the gateway rejects a body that does not match the digest in the
// request header, and that the rejected body does not replace the stored object.
func TestBodyWithWrongDigestIsNotStored(t *testing.T) {
	site := kit.Start(t, kit.Settings(1), nil)
	b := createBucket(t, site, "photos")
	md5OfOther := md5.Sum([]byte("something else"))
	zeros := func(n int) string { return base64.StdEncoding.EncodeToString(make([]byte, n)) }
	for _, n := range bodySizes {
		stored := kit.RandomBytes(3, n)
		b.put(t, "k", stored)
		for _, tt := range []struct{ name, header, value, code string }{
			{"md5", "Content-Md5", base64.StdEncoding.EncodeToString(md5OfOther[:]), "BadDigest"},
			{"malformed md5", "Content-Md5", "xx", "InvalidDigest"},
			{"crc32", "X-Amz-Checksum-Crc32", "AAAAAA==", "BadDigest"},
			{"crc32c", "X-Amz-Checksum-Crc32c", "AAAAAA==", "BadDigest"},
			{"crc64nvme", "X-Amz-Checksum-Crc64nvme", "AAAAAAAAAAA=", "BadDigest"},
			{"sha1", "X-Amz-Checksum-Sha1", zeros(20), "BadDigest"},
			{"sha256", "X-Amz-Checksum-Sha256", zeros(32), "BadDigest"},
			{"malformed crc32", "X-Amz-Checksum-Crc32", "AAA", "InvalidRequest"},
		} {
			body := bytes.NewReader(kit.RandomBytes(8, n))
			resp := site.Do(http.MethodPut, "/photos/k", http.Header{tt.header: {tt.value}}, body)
			if resp.Status != http.StatusBadRequest || !strings.Contains(string(resp.Body), tt.code) {
				t.Errorf("%s, body of %d bytes: got response %v, want status 400 and the listed error code", tt.name, n, resp)
			}
		}
		b.checkContent(t, "k", stored)
	}
}

// TestBodyWithWrongSignedHashIsNotStored checks that the gateway rejects a body whose hash differs from the signed
// hash. Nodes do not check the signed hash, so a node that received the whole body would store the body.
func TestBodyWithWrongSignedHashIsNotStored(t *testing.T) {
	site := kit.Start(t, kit.Settings(1), nil)
	createBucket(t, site, "photos")
	for _, n := range bodySizes {
		r := site.NewRequest(http.MethodPut, "/photos/k", bytes.NewReader(make([]byte, n)))
		kit.SignPayload(r, kit.KeyID, kit.Secret, time.Now(), strings.Repeat("ab", 32))
		resp := kit.Must(kit.RoundTrip(&http.Transport{}, r))(t)
		rejected := resp.Status == http.StatusBadRequest
		if !rejected || !strings.Contains(string(resp.Body), "XAmzContentSHA256Mismatch") {
			t.Errorf("body of %d bytes: got response %v, want status 400 and XAmzContentSHA256Mismatch", n, resp)
		}
	}
	waitFor(t, "the node is idle", func() bool { return site.Nodes[0].Idle() })
	checkStoredObjects(t, site, "photos", 0)
}

// TestModifiedSignedChunkIsNotStored checks that the gateway rejects an upload with signed chunks if one byte
// changes between client and gateway, and that no object is stored.
func TestModifiedSignedChunkIsNotStored(t *testing.T) {
	site := kit.Start(t, kit.Settings(1), nil)
	createBucket(t, site, "photos")
	m := kit.NewMinioClient(t, startModifyingProxy(t, site.Addr)) // minio-go signs each chunk over plain HTTP
	for _, n := range []int{40_000, 500_000} {
		t.Run(fmt.Sprint(n, " bytes"), func(t *testing.T) {
			if err := putWithMinio(t, m, "photos", "k", kit.RandomBytes(1, n)); err == nil {
				t.Fatal("PUT of a body modified in transit: got no error, want an error")
			}
		})
	}
	checkStoredObjects(t, site, "photos", 0)
}

// startModifyingProxy starts a TCP proxy to target that flips one bit in the data of each client, and returns the
// proxy's address. The proxy stops at the end of the test.
func startModifyingProxy(t *testing.T, target string) string {
	t.Helper()
	var lc net.ListenConfig
	ln := kit.Must(lc.Listen(t.Context(), "tcp", "127.0.0.1:0"))(t)
	var conns sync.WaitGroup
	accepting := make(chan struct{})
	go func() {
		defer close(accepting)
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			var d net.Dialer
			server, err := d.DialContext(t.Context(), "tcp", target)
			if err != nil {
				client.Close()
				if t.Context().Err() == nil { // the test is still running
					t.Error(err)
				}
				return
			}
			t.Cleanup(func() {
				client.Close()
				server.Close()
			})
			conns.Go(func() {
				defer client.Close()
				_, _ = io.Copy(client, server) // copies until either side closes its connection
			})
			conns.Go(func() {
				defer server.Close()
				copyModified(server, client)
			})
		}
	}()
	t.Cleanup(conns.Wait)
	t.Cleanup(func() {
		ln.Close()
		<-accepting
	})
	return ln.Addr().String()
}

// copyModified copies data until either connection ends, and flips one bit of the byte at modifiedOffset.
func copyModified(to io.Writer, from io.Reader) {
	const modifiedOffset = 20_000
	buf := make([]byte, 32<<10)
	copied := 0
	for {
		n, err := from.Read(buf)
		if copied <= modifiedOffset && copied+n > modifiedOffset {
			buf[modifiedOffset-copied] ^= 1
		}
		copied += n
		if _, writeErr := to.Write(buf[:n]); writeErr != nil || err != nil {
			return
		}
	}
}
