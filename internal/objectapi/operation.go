// Package objectapi reads requests of the object API (as S3's public
// specification has it) into typed operations and writes its documents. It does
// no I/O.
package objectapi

import (
	"bytes"
	"strconv"
	"strings"
	"unicode/utf8"

	"chalkstand/internal/http1"
	"chalkstand/internal/sigv4"
)

// Kind is an operation of the object API.
type Kind int

// The operations that are spoken.
const (
	ListBuckets Kind = iota
	CreateBucket
	HeadBucket
	DeleteBucket
	GetBucketLocation
	GetBucketVersioning
	ListObjectsV1
	ListObjectsV2
	ListMultipartUploads
	DeleteObjects
	PutObject
	GetObject
	HeadObject
	DeleteObject
	CopyObject
	CreateMultipartUpload
	UploadPart
	UploadPartCopy
	CompleteMultipartUpload
	AbortMultipartUpload
	ListParts
	kinds
)

var kindNames = [kinds]string{
	"ListBuckets", "CreateBucket", "HeadBucket", "DeleteBucket", "GetBucketLocation",
	"GetBucketVersioning", "ListObjects", "ListObjectsV2", "ListMultipartUploads", "DeleteObjects", "PutObject",
	"GetObject", "HeadObject", "DeleteObject", "CopyObject", "CreateMultipartUpload", "UploadPart", "UploadPartCopy",
	"CompleteMultipartUpload", "AbortMultipartUpload", "ListParts",
}

// String returns the operation's name in the specification.
func (k Kind) String() string {
	if k < 0 || k >= kinds {
		return "Unknown"
	}
	return kindNames[k]
}

// Kinds returns how many operations there are.
func Kinds() int { return int(kinds) }

// KindNamed finds an operation by its name.
func KindNamed(name string) (Kind, bool) {
	for k, n := range kindNames {
		if n == name {
			return Kind(k), true
		}
	}
	return 0, false
}

// Writes tells whether the operation changes what is stored.
func (k Kind) Writes() bool {
	switch k {
	case CreateBucket, DeleteBucket, DeleteObjects, PutObject, DeleteObject, CopyObject, CreateMultipartUpload,
		UploadPart, UploadPartCopy, CompleteMultipartUpload, AbortMultipartUpload:
		return true
	}
	return false
}

// OfObject tells whether the operation names one object.
func (k Kind) OfObject() bool { return k >= PutObject }

// HasBody tells whether the operation's request carries a body that matters.
func (k Kind) HasBody() bool {
	switch k {
	case PutObject, UploadPart, DeleteObjects, CompleteMultipartUpload, CreateBucket:
		return true
	}
	return false
}

// Streams tells whether the body is an object's bytes, not a document.
func (k Kind) Streams() bool { return k == PutObject || k == UploadPart }

// Operation is a request that was understood.
type Operation struct {
	Kind        Kind
	Bucket, Key string
	Query       Query
	// The source of a copy.
	FromBucket, FromKey string
}

// Param is one query parameter, unescaped.
type Param struct{ Name, Value string }

// Query is a request's parameters in order.
type Query []Param

// Get returns the first value of a name.
func (q Query) Get(name string) string {
	for i := range q {
		if q[i].Name == name {
			return q[i].Value
		}
	}
	return ""
}

// Has tells whether a name is there.
func (q Query) Has(name string) bool {
	for i := range q {
		if q[i].Name == name {
			return true
		}
	}
	return false
}

// ParseQuery reads the text after the question mark.
func ParseQuery(s string) (Query, *Error) {
	if s == "" {
		return nil, nil
	}
	q := make(Query, 0, 4)
	for p := range strings.SplitSeq(s, "&") {
		if p == "" {
			continue
		}
		rk, rv, _ := strings.Cut(p, "=")
		k, ok1 := sigv4.Unescape(rk, true)
		v, ok2 := sigv4.Unescape(rv, true)
		if !ok1 || !ok2 {
			return nil, Errorf("InvalidURI", "The query is not validly escaped.")
		}
		if len(q) == maxParams {
			return nil, Errorf("InvalidRequest", "Too many query parameters.")
		}
		q = append(q, Param{k, v})
	}
	return q, nil
}

const (
	maxParams = 64
	maxKey    = 1024 // bytes, by the specification
	// MaxPart is the highest part number, by the specification.
	MaxPart = 10000
)

// Parse reads a request head. Hosts under one of the domains name the bucket in
// their first label (virtual-host style); else the path's first part does.
func Parse(r *http1.Request, domains []string) (Operation, *Error) {
	var o Operation
	rawPath, rawQuery, _ := bytes.Cut(r.Target, []byte("?"))
	if len(rawPath) == 0 || rawPath[0] != '/' {
		return o, Errorf("InvalidURI", "The target must be a path that begins with a slash.")
	}
	path, ok := sigv4.Unescape(string(rawPath[1:]), false)
	if !ok || !utf8.ValidString(path) || strings.IndexByte(path, 0) >= 0 {
		return o, Errorf("InvalidURI", "The path is not validly escaped UTF-8.")
	}
	var err *Error
	if o.Query, err = ParseQuery(string(rawQuery)); err != nil {
		return o, err
	}
	if b, ok := bucketOfHost(string(r.Headers.Get("host")), domains); ok {
		o.Bucket, o.Key = b, path
	} else {
		o.Bucket, o.Key, _ = strings.Cut(path, "/")
	}
	if o.Bucket == "" && o.Key != "" {
		return o, Errorf("InvalidBucketName", "The path names no bucket.")
	}
	if o.Bucket != "" && !ValidBucket(o.Bucket) {
		return o, Errorf("InvalidBucketName", "The specified bucket is not valid.")
	}
	if len(o.Key) > maxKey {
		return o, Errorf("KeyTooLongError", "Your key is too long.")
	}
	if err := o.classify(r); err != nil {
		return o, err
	}
	return o, o.checkParams()
}

func bucketOfHost(host string, domains []string) (string, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, d := range domains {
		if n := len(host) - len(d) - 1; n > 0 && host[n] == '.' && strings.EqualFold(host[n+1:], d) {
			return strings.ToLower(host[:n]), true
		}
	}
	return "", false
}

// ValidBucket tells whether a name is a bucket's by the specification.
func ValidBucket(s string) bool {
	if len(s) < 3 || len(s) > 63 || strings.Contains(s, "..") {
		return false
	}
	for i := 0; i < len(s); i++ {
		c := s[i]
		edge := i == 0 || i == len(s)-1
		if !('a' <= c && c <= 'z' || '0' <= c && c <= '9' || !edge && (c == '-' || c == '.')) {
			return false
		}
	}
	return true
}

// subresources are features of the specification that are not offered. A request
// that names one must not be taken for a plain one.
var subresources = []string{
	"accelerate", "acl", "analytics", "attributes", "cors", "encryption",
	"intelligent-tiering", "inventory", "legal-hold", "lifecycle", "logging", "metadataTable", "metrics", "notification",
	"object-lock", "ownershipControls", "policy", "policyStatus", "publicAccessBlock", "replication",
	"requestPayment", "restore", "retention", "select", "session", "tagging", "torrent", "versions", "website",
}

func (o *Operation) classify(r *http1.Request) *Error {
	for i := range o.Query {
		for _, s := range subresources {
			if o.Query[i].Name == s {
				return Errorf("NotImplemented", "The subresource "+s+" is not offered here.")
			}
		}
	}
	if o.Query.Get("versionId") != "" && o.Query.Get("versionId") != "null" {
		return Errorf("NotImplemented", "Versions are not offered here.")
	}
	m := string(r.Method)
	switch {
	case o.Bucket == "":
		return o.is(m, "GET", ListBuckets)
	case o.Key == "":
		return o.classifyBucket(m)
	}
	return o.classifyObject(m, r)
}

func (o *Operation) is(method, want string, k Kind) *Error {
	if method != want {
		return Errorf("MethodNotAllowed", "The specified method is not allowed against this resource.")
	}
	o.Kind = k
	return nil
}

func (o *Operation) classifyBucket(m string) *Error {
	q := o.Query
	switch {
	case q.Has("location"):
		return o.is(m, "GET", GetBucketLocation)
	case q.Has("versioning"):
		if m == "PUT" {
			return Errorf("NotImplemented", "Versions are not offered here.")
		}
		return o.is(m, "GET", GetBucketVersioning)
	case q.Has("uploads"):
		return o.is(m, "GET", ListMultipartUploads)
	case q.Has("delete"):
		return o.is(m, "POST", DeleteObjects)
	}
	switch m {
	case "GET":
		if o.Kind = ListObjectsV1; q.Get("list-type") == "2" {
			o.Kind = ListObjectsV2
		}
	case "HEAD":
		o.Kind = HeadBucket
	case "PUT":
		o.Kind = CreateBucket
	case "DELETE":
		o.Kind = DeleteBucket
	case "POST":
		return Errorf("NotImplemented", "Uploads by HTML form are not offered here.")
	default:
		return Errorf("MethodNotAllowed", "The specified method is not allowed against this resource.")
	}
	return nil
}

func (o *Operation) classifyObject(m string, r *http1.Request) *Error {
	q := o.Query
	source := r.Headers.Get("x-amz-copy-source")
	switch {
	case q.Has("uploads"):
		return o.is(m, "POST", CreateMultipartUpload)
	case q.Has("uploadId"):
		switch m {
		case "PUT":
			if o.Kind = UploadPart; source != nil {
				o.Kind = UploadPartCopy
				return o.source(source)
			}
		case "POST":
			o.Kind = CompleteMultipartUpload
		case "GET":
			o.Kind = ListParts
		default:
			return o.is(m, "DELETE", AbortMultipartUpload)
		}
		return nil
	}
	switch m {
	case "PUT":
		if o.Kind = PutObject; source != nil {
			o.Kind = CopyObject
			return o.source(source)
		}
	case "GET":
		o.Kind = GetObject
	case "HEAD":
		o.Kind = HeadObject
	default:
		return o.is(m, "DELETE", DeleteObject)
	}
	return nil
}

func (o *Operation) source(v []byte) *Error {
	s, query, _ := strings.Cut(string(v), "?")
	s, ok := sigv4.Unescape(strings.TrimPrefix(s, "/"), false)
	o.FromBucket, o.FromKey, _ = strings.Cut(s, "/")
	if !ok || !ValidBucket(o.FromBucket) || o.FromKey == "" || len(o.FromKey) > maxKey || !utf8.ValidString(o.FromKey) {
		return Errorf("InvalidArgument", "x-amz-copy-source must be BUCKET/KEY, URL-encoded.")
	}
	if query != "" && query != "versionId=null" {
		return Errorf("NotImplemented", "Versions are not offered here.")
	}
	return nil
}

func (o *Operation) checkParams() *Error {
	if o.Kind == UploadPart || o.Kind == UploadPartCopy {
		if n, err := strconv.Atoi(o.Query.Get("partNumber")); err != nil || n < 1 || n > MaxPart {
			return Errorf("InvalidArgument", "Part number must be an integer between 1 and 10000, inclusive")
		}
	}
	for _, name := range [...]string{"max-keys", "max-uploads", "max-parts"} {
		if v := o.Query.Get(name); v != "" {
			if n, err := strconv.Atoi(v); err != nil || n < 0 {
				return Errorf("InvalidArgument", "Argument "+name+" must be an integer between 0 and 2147483647")
			}
		}
	}
	if e := o.Query.Get("encoding-type"); e != "" && e != "url" {
		return Errorf("InvalidArgument", "Invalid Encoding Method specified in Request")
	}
	return nil
}
