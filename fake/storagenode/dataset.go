// Package storagenode is a stand-in for a storage node, for tests, experiments and the
// quick start: it speaks the object API over HTTP on loopback, keeps a shard's
// objects, bears only so much work, reports its load, and fails as it is told to.
package storagenode

import (
	"chalkstand/internal/objectapi"
	"chalkstand/internal/payload"
	"crypto/md5"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// Dataset is what a shard holds. A node's successor takes over the same one.
type Dataset struct {
	dir string // of blobs; "" keeps them in memory

	mu      sync.Mutex
	buckets map[string]*bucket
	uploads map[string]*upload
	dedup map[string]*dedupEntry
	dedupOrder   []string // keys of repeats in the order in which they are forgotten
	nextID  uint64
	journal *os.File // nil: nothing outlasts the process
}

type bucket struct {
	created time.Time
	objects map[string]*object
	keys    []string // sorted; nil when it must be sorted anew
}

// object is immutable once it is stored.
type object struct {
	blob     blob
	etag     string // without quotes
	modified time.Time
	header   map[string]string // canonical names
	sum      checksum
	parts    []int64 // sizes, of a multipart object
}

type checksum struct{ name, value string }

type upload struct {
	bucket, key string
	started     time.Time
	header      map[string]string
	parts       map[int]*object
}

// dedupEntry remembers a keyed write, so that another of the same key does nothing.
type dedupEntry struct {
	until time.Time
	done  chan struct{}
	reply response
}

// NewDataset returns an empty shard. With a directory the blobs are files in it;
// what they are called outlasts the process only with OpenDataset.
func NewDataset(dir string) *Dataset {
	return &Dataset{dir: dir, buckets: map[string]*bucket{}, uploads: map[string]*upload{}, dedup: map[string]*dedupEntry{}}
}

// blob is bytes in memory or files, one after another.
type blob struct {
	mem   []byte
	files []string
	sizes []int64
	size  int64
}

func (b blob) open(from, n int64) (io.ReadCloser, error) {
	if b.files == nil {
		return io.NopCloser(strings.NewReader(bytesString(b.mem[from : from+n]))), nil
	}
	var rs []io.Reader
	var cs multiCloser
	for i, f := range b.files {
		if from >= b.sizes[i] {
			from -= b.sizes[i]
			continue
		}
		if n == 0 {
			break
		}
		h, err := os.Open(f)
		if err != nil {
			cs.Close()
			return nil, err
		}
		cs = append(cs, h)
		take := min(n, b.sizes[i]-from)
		rs = append(rs, io.NewSectionReader(h, from, take))
		n -= take
		from = 0
	}
	return struct {
		io.Reader
		io.Closer
	}{io.MultiReader(rs...), cs}, nil
}

type multiCloser []io.Closer

func (c multiCloser) Close() error {
	for _, x := range c {
		x.Close()
	}
	return nil
}

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

// receive reads a body to its end into a blob with its MD5 and, where a checksum
// is named, that. size is what the client announced, -1 where it did not.
func (d *Dataset) receive(r io.Reader, size int64, sumName string) (blob, string, string, error) {
	m := md5.New()
	ws := []io.Writer{m}
	var sum hash.Hash
	if name, ok := strings.CutPrefix(sumName, "x-amz-checksum-"); ok {
		if sum = payload.NewChecksum(name); sum != nil {
			ws = append(ws, sum)
		}
	}
	var b blob
	var err error
	if d.dir == "" {
		b.mem = make([]byte, 0, max(size, 512))
		w := io.MultiWriter(append(ws, (*appender)(&b.mem))...)
		b.size, err = io.Copy(w, yieldingReader{r})
	} else {
		d.mu.Lock()
		d.nextID++
		name := filepath.Join(d.dir, fmt.Sprintf("blob-%d-%d-%d", os.Getpid(), time.Now().UnixNano(), d.nextID))
		d.mu.Unlock()
		f, ferr := os.Create(name)
		if ferr != nil {
			return b, "", "", ferr
		}
		b.size, err = io.Copy(io.MultiWriter(append(ws, f)...), yieldingReader{r})
		if cerr := f.Close(); err == nil {
			err = cerr
		}
		b.files, b.sizes = []string{name}, []int64{b.size}
		if err != nil {
			os.Remove(name)
		}
	}
	value := ""
	if sum != nil {
		value = base64.StdEncoding.EncodeToString(sum.Sum(nil))
	}
	return b, hex.EncodeToString(m.Sum(nil)), value, err
}

// yieldingReader lets other requests of the node go on after each piece of a body: hashing one
// whose bytes are there already would else take a core for many milliseconds.
type yieldingReader struct{ io.Reader }

func (y yieldingReader) Read(p []byte) (int, error) {
	runtime.Gosched()
	return y.Reader.Read(p)
}

type appender []byte

func (a *appender) Write(p []byte) (int, error) {
	*a = append(*a, p...)
	return len(p), nil
}

func (d *Dataset) get(bkt, key string) (*object, *objectapi.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.buckets[bkt]
	if b == nil {
		return nil, errNoSuchBucket()
	}
	o := b.objects[key]
	if o == nil {
		return nil, objectapi.Errorf("NoSuchKey", "The specified key does not exist.")
	}
	return o, nil
}

func errNoSuchBucket() *objectapi.Error {
	return objectapi.Errorf("NoSuchBucket", "The specified bucket does not exist.")
}

// put stores an object where the condition on what is there holds.
func (d *Dataset) put(bkt, key string, o *object, cond func(old *object) *objectapi.Error) *objectapi.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.buckets[bkt]
	if b == nil {
		return errNoSuchBucket()
	}
	old := b.objects[key]
	if err := cond(old); err != nil {
		return err
	}
	if old == nil {
		b.keys = nil
	}
	b.objects[key] = o
	d.appendJournal(journalEntry{What: "put", Bucket: bkt, Key: key, Object: o.record()})
	return nil
}

func (d *Dataset) delete(bkt, key string, cond func(old *object) *objectapi.Error) *objectapi.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.buckets[bkt]
	if b == nil {
		return errNoSuchBucket()
	}
	if err := cond(b.objects[key]); err != nil {
		return err
	}
	if b.objects[key] != nil {
		delete(b.objects, key)
		b.keys = nil
		d.appendJournal(journalEntry{What: "delete", Bucket: bkt, Key: key})
	}
	return nil
}

func (b *bucket) sorted() []string {
	if b.keys == nil {
		b.keys = make([]string, 0, len(b.objects))
		for k := range b.objects {
			b.keys = append(b.keys, k)
		}
		slices.Sort(b.keys)
	}
	return b.keys
}

// listPage is a page of a list, before it becomes a document.
type listPage struct {
	keys     []string
	objects  []*object
	prefixes []string
	next     string // the last name given, when there is more
	more     bool
}

// list gives up to most keys and prefixes after a name, in order.
func (d *Dataset) list(bkt, prefix, delimiter, after string, most int) (listPage, *objectapi.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.buckets[bkt]
	if b == nil {
		return listPage{}, errNoSuchBucket()
	}
	keys := b.sorted()
	var l listPage
	for i := sort.SearchStrings(keys, max(prefix, after)); i < len(keys); i++ {
		k := keys[i]
		if !strings.HasPrefix(k, prefix) {
			break
		}
		if k <= after && after != "" {
			continue
		}
		name, group := rollUp(k, prefix, delimiter)
		if group && (name == after || len(l.prefixes) > 0 && l.prefixes[len(l.prefixes)-1] == name) {
			continue
		}
		if len(l.keys)+len(l.prefixes) == most {
			l.more = true
			break
		}
		if l.next = name; group {
			l.prefixes = append(l.prefixes, name)
		} else {
			l.keys, l.objects = append(l.keys, k), append(l.objects, b.objects[k])
		}
	}
	return l, nil
}

// rollUp cuts a key behind the first delimiter after the prefix, if there is one.
func rollUp(key, prefix, delimiter string) (string, bool) {
	if delimiter == "" {
		return key, false
	}
	i := strings.Index(key[len(prefix):], delimiter)
	if i < 0 {
		return key, false
	}
	return key[:len(prefix)+i+len(delimiter)], true
}

// Objects returns how many objects a bucket holds, -1 when there is no such bucket.
func (d *Dataset) Objects(bkt string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b := d.buckets[bkt]; b != nil {
		return len(b.objects)
	}
	return -1
}

// AddBucket makes sure that a bucket is there.
func (d *Dataset) AddBucket(name string, created time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.buckets[name] != nil {
		return false
	}
	d.buckets[name] = &bucket{created: created, objects: map[string]*object{}}
	d.appendJournal(journalEntry{What: "bucket", Bucket: name, At: created})
	return true
}

// Store puts an object into a bucket without a request: what was there before.
func (d *Dataset) Store(bkt, key string, b []byte) {
	sum := md5.Sum(b)
	d.put(bkt, key, &object{
		blob: blob{mem: b, size: int64(len(b))}, etag: hex.EncodeToString(sum[:]), modified: time.Now().Truncate(time.Second),
		header: map[string]string{"Content-Type": "binary/octet-stream"},
	}, func(*object) *objectapi.Error { return nil })
}
