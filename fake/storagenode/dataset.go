package storagenode

import (
	"crypto/md5"
	"encoding/hex"
	"os"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"chalkstand/internal/objectapi"
)

// Dataset is the contents of a shard. A node's successor takes over the same one.
type Dataset struct {
	dir string // of blobs; "" keeps them in memory

	mu         sync.Mutex
	logger     *zap.Logger // of the node that started last
	buckets    map[string]*bucket
	uploads    map[string]*upload // by ID
	dedup      map[string]*dedupEntry
	dedupOrder []*dedupEntry // in the order in which they expire
	nextID     uint64
	journal    *os.File // nil: nothing outlasts the process
}

type bucket struct {
	created time.Time
	objects map[string]*object
	keys    []string // sorted; nil when they have to be sorted again
}

func newBucket(created time.Time) *bucket {
	return &bucket{created: created, objects: map[string]*object{}}
}

// sorted returns the keys in order.
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

// object is immutable once it is stored.
type object struct {
	blob     blob
	etag     string // without quotes
	modified time.Time
	header   map[string]string // canonical names
	sum      checksum
	parts    []int64 // sizes of a multipart object's parts
}

// checksum is one that the client sent, by its header's name; empty without one.
type checksum struct {
	name  string
	value string
}

// NewDataset returns an empty shard. With a directory the blobs are files in it; what they are
// called outlasts the process only with OpenDataset.
func NewDataset(dir string) *Dataset {
	return &Dataset{
		dir:     dir,
		logger:  zap.NewNop(),
		buckets: map[string]*bucket{},
		uploads: map[string]*upload{},
		dedup:   map[string]*dedupEntry{},
	}
}

func (d *Dataset) setLogger(logger *zap.Logger) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.logger = logger
}

// internalError logs that an object's bytes cannot be read or written and returns the error for the client,
// which does not name the file.
func (d *Dataset) internalError(object string, err error) *objectapi.Error {
	d.mu.Lock()
	logger := d.logger
	d.mu.Unlock()
	logger.Error("object data unavailable", zap.String("object", object), zap.Error(err))
	return objectapi.NewError(objectapi.CodeInternalError, "We encountered an internal error.")
}

func errNoSuchKey() *objectapi.Error {
	return objectapi.NewError(objectapi.CodeNoSuchKey, "The specified key does not exist.")
}

func (d *Dataset) get(bucketName, key string) (*object, *objectapi.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.buckets[bucketName]
	if b == nil {
		return nil, errNoSuchBucket()
	}
	o := b.objects[key]
	if o == nil {
		return nil, errNoSuchKey()
	}
	return o, nil
}

// put stores an object if the condition holds.
func (d *Dataset) put(bucketName, key string, o *object, cond condition) *objectapi.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.buckets[bucketName]
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
	d.appendJournal(journalEntry{What: entryPut, Bucket: bucketName, Key: key, Object: o.record()})
	return nil
}

// delete removes an object, if there is one and the condition holds.
func (d *Dataset) delete(bucketName, key string, cond condition) *objectapi.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.buckets[bucketName]
	if b == nil {
		return errNoSuchBucket()
	}
	if err := cond(b.objects[key]); err != nil {
		return err
	}
	if b.objects[key] != nil {
		delete(b.objects, key)
		b.keys = nil
		d.appendJournal(journalEntry{What: entryDelete, Bucket: bucketName, Key: key})
	}
	return nil
}

// Store puts an object into a bucket without a request, as the state before a test. It does nothing
// if there is no such bucket.
func (d *Dataset) Store(bucketName, key string, b []byte) {
	sum := md5.Sum(b)
	_ = d.put(bucketName, key, &object{
		blob:     blob{mem: b, size: int64(len(b))},
		etag:     hex.EncodeToString(sum[:]),
		modified: modificationTime(),
		header:   map[string]string{"Content-Type": defaultContentType},
	}, unconditional)
}
