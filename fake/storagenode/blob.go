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

// checksumPrefix begins the name of a checksum's header, before its algorithm.
const checksumPrefix = "x-amz-checksum-"

// minBuffer is the initial buffer of a body in memory, in bytes.
const minBuffer = 512

// blob is bytes in memory, or in files one after another.
type blob struct {
	mem   []byte
	files []string // nil: in memory
	sizes []int64  // of files
	size  int64
}

// open returns a reader of n bytes from offset on.
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

// multiCloser closes several files as one.
type multiCloser []io.Closer

// Close implements io.Closer.
func (m multiCloser) Close() error {
	var err error
	for _, c := range m {
		err = errors.Join(err, c.Close())
	}
	return err
}

// concatenate returns the blob of several parts, one after another.
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

// receivedBody is a request's body with its checksums.
type receivedBody struct {
	blob     blob
	md5      string // hexadecimal
	checksum string // base64; empty unless one was named
}

// receive reads a body to its end. It calculates the checksum of the header sumName, if that is
// not empty. size is the length that the client announced, -1 where it did not.
func (d *Dataset) receive(r io.Reader, size int64, sumName string) (receivedBody, error) {
	m := md5.New()
	hashes := io.Writer(m)
	var sum hash.Hash
	if algorithm, ok := strings.CutPrefix(sumName, checksumPrefix); ok {
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

// store reads a body to its end into a blob, in memory or in a new file.
func (d *Dataset) store(r io.Reader, size int64) (blob, error) {
	var b blob
	var err error
	if d.dir == "" {
		b.mem = make([]byte, 0, max(size, minBuffer))
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
		_ = os.Remove(name) // err says more
	}
	return b, err
}

// yieldingReader yields the processor before each read of a body, so that a node's other requests
// are not held up for long while one that has arrived already is hashed.
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
