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

// Dataset holds the contents of a shard. When one node replaces another, it takes over the Dataset.
type Dataset struct {
	dir string // directory of the blob files; empty: blobs are in memory

	mu         sync.Mutex
	logger     *zap.Logger // logger of the node that started last
	buckets    map[string]*bucket
	uploads    map[string]*upload     // open multipart uploads, keyed by upload ID
	dedup      map[string]*dedupEntry // keyed by idempotency key
	dedupOrder []*dedupEntry          // finished entries in the order of their expiry
	nextID     uint64                 // makes the names of blob files and the upload IDs unique
	journal    *os.File               // nil: the data set is lost when the process ends
}

type bucket struct {
	created time.Time
	objects map[string]*object // keyed by object key
	keys    []string           // sorted keys of objects; nil after a change until sorted is called
}

func newBucket(created time.Time) *bucket {
	return &bucket{created: created, objects: map[string]*object{}}
}

// sorted returns the keys of all objects in ascending order.
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

// object is an object or a part of an upload. It does not change after it is stored.
type object struct {
	blob     blob
	etag     string // entity tag without quotes
	modified time.Time
	header   map[string]string // values keyed by canonical header names
	sum      checksum
	parts    []int64 // sizes in bytes of the parts from which the object was completed; empty for other objects
}

// checksum is the checksum that the client sent with an object. It is the zero value if the client sent none.
type checksum struct {
	name  string // name of the header
	value string
}

// NewDataset returns an empty data set. If dir is not empty, the blobs are files in this directory;
// otherwise they are in memory. The data set has no journal, so it is lost when the process ends.
// Use OpenDataset to keep it.
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

// internalError logs an error of reading or writing an object's bytes. It returns the error for the client, which
// does not contain the name of the file.
func (d *Dataset) internalError(resource string, err error) *objectapi.Error {
	d.mu.Lock()
	logger := d.logger
	d.mu.Unlock()
	logger.Error("object data unavailable", zap.String("object", resource), zap.Error(err))
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
	obj := b.objects[key]
	if obj == nil {
		return nil, errNoSuchKey()
	}
	return obj, nil
}

// put stores an object under a key if the condition holds for the old object with this key.
func (d *Dataset) put(bucketName, key string, obj *object, cond condition) *objectapi.Error {
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
	b.objects[key] = obj
	d.appendJournal(journalEntry{What: entryPut, Bucket: bucketName, Key: key, Object: obj.record()})
	return nil
}

// delete removes an object if the condition holds. It returns no error if the object does not exist.
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

// Store puts an object into a bucket without a request, to prepare the data for a test. It does nothing
// if the bucket does not exist.
func (d *Dataset) Store(bucketName, key string, b []byte) {
	sum := md5.Sum(b)
	_ = d.put(bucketName, key, &object{
		blob:     blob{mem: b, size: int64(len(b))},
		etag:     hex.EncodeToString(sum[:]),
		modified: modificationTime(),
		header:   map[string]string{"Content-Type": defaultContentType},
	}, unconditional)
}
