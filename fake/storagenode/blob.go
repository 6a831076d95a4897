package storagenode

import (
	"bytes"
	"crypto/md5"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"chalkstand/internal/payload"
)

// checksumPrefix is the prefix of a checksum header's name. The name of the algorithm follows it.
const checksumPrefix = "x-amz-checksum-"

// minBufferSize is the minimum initial size of the buffer for a body in memory, in bytes.
const minBufferSize = 512

// blob holds the content of an object or a part, either in memory or as the concatenation of several files.
type blob struct {
	mem   []byte
	files []string // names of the files; nil if the content is in memory
	sizes []int64  // sizes of the files, in bytes
	size  int64    // total size in bytes
}

// open returns a reader of n bytes of the blob, which start at offset.
func (b blob) open(offset, n int64) (io.ReadCloser, error) {
	if b.files == nil {
		return io.NopCloser(bytes.NewReader(b.mem[offset : offset+n])), nil
	}
	var readers []io.Reader
	var files multiCloser
	for i, name := range b.files {
		if offset >= b.sizes[i] {
			offset -= b.sizes[i]
			continue
		}
		if n == 0 {
			break
		}
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Join(err, files.Close())
		}
		files = append(files, f)
		take := min(n, b.sizes[i]-offset)
		readers = append(readers, io.NewSectionReader(f, offset, take))
		n -= take
		offset = 0
	}
	return struct {
		io.Reader
		io.Closer
	}{io.MultiReader(readers...), files}, nil
}

// multiCloser is an io.Closer that closes several files.
type multiCloser []io.Closer

// Close implements io.Closer.
func (m multiCloser) Close() error {
	var err error
	for _, c := range m {
		err = errors.Join(err, c.Close())
	}
	return err
}

// concatenate returns a blob with the contents of all parts, in the given order.
func concatenate(parts []*object) blob {
	var b blob
	for _, p := range parts {
		b.size += p.blob.size
		b.files = append(b.files, p.blob.files...)
		b.sizes = append(b.sizes, p.blob.sizes...)
	}
	if b.files == nil {
		b.mem = make([]byte, 0, b.size)
		for _, p := range parts {
			b.mem = append(b.mem, p.blob.mem...)
		}
	}
	return b
}

// receivedBody is a request's body with its calculated checksums.
type receivedBody struct {
	blob     blob
	md5      string // hexadecimal MD5 of the body
	checksum string // base64 checksum with the algorithm that receive was given; empty without an algorithm
}

// receive stores a body and calculates its checksums. checksumName is the name of the header that the
// checksum belongs to and selects its algorithm; it may be empty. size is the Content-Length of the body,
// or -1 if the length is unknown.
func (d *Dataset) receive(r io.Reader, size int64, checksumName string) (receivedBody, error) {
	m := md5.New()
	hashes := io.Writer(m)
	var sum hash.Hash
	if algorithm, ok := strings.CutPrefix(checksumName, checksumPrefix); ok {
		if sum = payload.NewChecksum(algorithm); sum != nil {
			hashes = io.MultiWriter(m, sum)
		}
	}
	b, err := d.store(io.TeeReader(yieldingReader{r}, hashes), size)
	got := receivedBody{blob: b, md5: hex.EncodeToString(m.Sum(nil))}
	if sum != nil {
		got.checksum = base64.StdEncoding.EncodeToString(sum.Sum(nil))
	}
	return got, err
}

// store reads a body to its end and returns it as a blob, which is in memory or in a new file.
func (d *Dataset) store(r io.Reader, size int64) (blob, error) {
	var b blob
	var err error
	if d.dir == "" {
		b.mem = make([]byte, 0, max(size, minBufferSize))
		b.size, err = io.Copy((*appender)(&b.mem), r)
		return b, err
	}
	d.mu.Lock()
	d.nextID++
	name := filepath.Join(d.dir, fmt.Sprintf("blob-%d-%d-%d", os.Getpid(), time.Now().UnixNano(), d.nextID))
	d.mu.Unlock()
	f, err := os.Create(name)
	if err != nil {
		return b, err
	}
	b.size, err = io.Copy(f, r)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	b.files = []string{name}
	b.sizes = []int64{b.size}
	if err != nil {
		_ = os.Remove(name) // the caller gets err, which is the cause
	}
	return b, err
}

// yieldingReader yields the processor before each read of a body. Without this, hashing a body whose
// bytes have all arrived would delay the node's other requests.
type yieldingReader struct{ io.Reader }

func (y yieldingReader) Read(p []byte) (int, error) {
	runtime.Gosched()
	return y.Reader.Read(p)
}

// appender is an io.Writer that appends to a slice.
type appender []byte

func (a *appender) Write(p []byte) (int, error) {
	*a = append(*a, p...)
	return len(p), nil
}
