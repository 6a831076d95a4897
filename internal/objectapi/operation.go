// Package objectapi parses requests of the object API, which follows the public specification of S3,
// into typed operations. It also encodes and parses the XML documents of the API. It does no I/O.
package objectapi

import (
	"bytes"
	"strconv"
	"strings"
	"unicode/utf8"

	"chalkstand/internal/http1"
	"chalkstand/internal/sigv4"
)

// Limits that the specification sets.
const (
	minBucketName = 3    // lowest number of bytes in the name of a bucket
	maxBucketName = 63   // highest number of bytes in the name of a bucket
	maxKeyLength  = 1024 // highest number of bytes in the key of an object

	// MaxPart is the highest part number in a multipart upload.
	MaxPart = 10000
)

// HTTP methods of the object API.
const (
	methodDelete = "DELETE"
	methodGet    = "GET"
	methodHead   = "HEAD"
	methodPost   = "POST"
	methodPut    = "PUT"
)

// Operation is a parsed request of the object API.
type Operation struct {
	Kind   Kind
	Bucket string // empty for ListBuckets
	Key    string // empty for ListBuckets and for an operation on a bucket
	Query  Query

	SourceBucket string // bucket of the object that the request copies
	SourceKey    string // key of the object that the request copies
}

// Parse parses the head of a request. If the host is a subdomain of one of the domains, the part
// before the domain is the name of the bucket (virtual-host style). Otherwise the path begins with
// the name of the bucket.
func Parse(r *http1.Request, domains []string) (Operation, *Error) {
	var o Operation
	rawPath, rawQuery, _ := bytes.Cut(r.Target, []byte("?"))
	if len(rawPath) == 0 || rawPath[0] != '/' {
		return o, NewError(CodeInvalidURI, "The target must be a path that begins with a slash.")
	}
	path, ok := sigv4.Unescape(string(rawPath[1:]), false)
	if !ok || !utf8.ValidString(path) || strings.IndexByte(path, 0) >= 0 {
		return o, NewError(CodeInvalidURI, "The path is not validly escaped UTF-8.")
	}
	var err *Error
	if o.Query, err = ParseQuery(string(rawQuery)); err != nil {
		return o, err
	}
	if bucket, ok := bucketOfHost(string(r.Headers.Get("host")), domains); ok {
		o.Bucket = bucket
		o.Key = path
	} else {
		o.Bucket, o.Key, _ = strings.Cut(path, "/")
	}
	if err := o.checkNames(); err != nil {
		return o, err
	}
	if err := o.classify(r); err != nil {
		return o, err
	}
	return o, o.checkParams()
}

// bucketOfHost returns the name of the bucket in a host of the form BUCKET.DOMAIN, and false if the
// host does not end in one of the domains.
func bucketOfHost(host string, domains []string) (string, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, domain := range domains {
		n := len(host) - len(domain) - 1
		if n > 0 && host[n] == '.' && strings.EqualFold(host[n+1:], domain) {
			return strings.ToLower(host[:n]), true
		}
	}
	return "", false
}

func (o *Operation) checkNames() *Error {
	switch {
	case o.Bucket == "" && o.Key != "":
		return NewError(CodeInvalidBucketName, "The path names no bucket.")
	case o.Bucket != "" && !ValidBucket(o.Bucket):
		return NewError(CodeInvalidBucketName, "The specified bucket is not valid.")
	case len(o.Key) > maxKeyLength:
		return NewError(CodeKeyTooLongError, "Your key is too long.")
	}
	return nil
}

// ValidBucket reports whether the specification allows s as the name of a bucket.
func ValidBucket(s string) bool {
	if len(s) < minBucketName || len(s) > maxBucketName || strings.Contains(s, "..") {
		return false
	}
	for i := range len(s) {
		isEdge := i == 0 || i == len(s)-1
		if !isBucketLetter(s[i]) && (isEdge || s[i] != '-' && s[i] != '.') {
			return false
		}
	}
	return true
}

func isBucketLetter(c byte) bool { return 'a' <= c && c <= 'z' || '0' <= c && c <= '9' }

// unsupportedSubresources holds the query parameters of features that the gateway does not support.
// Parse rejects a request with one of these parameters. If Parse ignored the parameter, the gateway
// would execute another operation than the one that the client requested.
var unsupportedSubresources = []string{
	"accelerate", "acl", "analytics", "attributes", "cors", "encryption",
	"intelligent-tiering", "inventory", "legal-hold", "lifecycle", "logging", "metadataTable", "metrics", "notification",
	"object-lock", "ownershipControls", "policy", "policyStatus", "publicAccessBlock", "replication",
	"requestPayment", "restore", "retention", "select", "session", "tagging", "torrent", "versions", "website",
}

// classify determines the kind of the operation from the request, and sets the source of a copy.
func (o *Operation) classify(r *http1.Request) *Error {
	for i := range o.Query {
		for _, s := range unsupportedSubresources {
			if o.Query[i].Name == s {
				return NewError(CodeNotImplemented, "The subresource "+s+" is not offered here.")
			}
		}
	}
	if v := o.Query.Get("versionId"); v != "" && v != nullVersion {
		return versionsNotOffered()
	}
	method := string(r.Method)
	switch {
	case o.Bucket == "":
		return o.classifyMethod(method, methodGet, ListBuckets)
	case o.Key == "":
		return o.classifyBucket(method)
	case o.Query.Has("uploads"):
		return o.classifyMethod(method, methodPost, CreateMultipartUpload)
	case o.Query.Has("uploadId"):
		return o.classifyUpload(method, r.Headers.Get(copySourceHeader))
	}
	return o.classifyObject(method, r.Headers.Get(copySourceHeader))
}

// classifyMethod sets the kind of a request for a resource that allows one method only.
func (o *Operation) classifyMethod(method, allowed string, k Kind) *Error {
	if method != allowed {
		return NewError(CodeMethodNotAllowed, "The specified method is not allowed against this resource.")
	}
	o.Kind = k
	return nil
}

// classifyBucket sets the kind of a request for a bucket, which has no key.
func (o *Operation) classifyBucket(method string) *Error {
	q := o.Query
	switch {
	case q.Has("location"):
		return o.classifyMethod(method, methodGet, GetBucketLocation)
	case q.Has("versioning") && method == methodPut:
		return versionsNotOffered()
	case q.Has("versioning"):
		return o.classifyMethod(method, methodGet, GetBucketVersioning)
	case q.Has("uploads"):
		return o.classifyMethod(method, methodGet, ListMultipartUploads)
	case q.Has("delete"):
		return o.classifyMethod(method, methodPost, DeleteObjects)
	}
	switch method {
	case methodGet:
		o.Kind = ListObjectsV1
		if q.Get("list-type") == "2" {
			o.Kind = ListObjectsV2
		}
	case methodHead:
		o.Kind = HeadBucket
	case methodPut:
		o.Kind = CreateBucket
	case methodPost:
		return NewError(CodeNotImplemented, "Uploads by HTML form are not offered here.")
	default:
		return o.classifyMethod(method, methodDelete, DeleteBucket)
	}
	return nil
}

// classifyUpload sets the kind of a request that names a multipart upload by its ID.
func (o *Operation) classifyUpload(method string, copySource []byte) *Error {
	switch method {
	case methodPut:
		o.Kind = UploadPart
		if copySource != nil {
			o.Kind = UploadPartCopy
			return o.parseCopySource(copySource)
		}
	case methodPost:
		o.Kind = CompleteMultipartUpload
	case methodGet:
		o.Kind = ListParts
	default:
		return o.classifyMethod(method, methodDelete, AbortMultipartUpload)
	}
	return nil
}

// classifyObject sets the kind of a request for a whole object.
func (o *Operation) classifyObject(method string, copySource []byte) *Error {
	switch method {
	case methodPut:
		o.Kind = PutObject
		if copySource != nil {
			o.Kind = CopyObject
			return o.parseCopySource(copySource)
		}
	case methodGet:
		o.Kind = GetObject
	case methodHead:
		o.Kind = HeadObject
	default:
		return o.classifyMethod(method, methodDelete, DeleteObject)
	}
	return nil
}

const (
	copySourceHeader = "x-amz-copy-source"

	// nullVersion is the version ID that the specification gives to an object without versions.
	nullVersion = "null"
)

// parseCopySource parses the value of the header x-amz-copy-source.
func (o *Operation) parseCopySource(value []byte) *Error {
	path, query, _ := strings.Cut(string(value), "?")
	path, ok := sigv4.Unescape(strings.TrimPrefix(path, "/"), false)
	o.SourceBucket, o.SourceKey, _ = strings.Cut(path, "/")
	validKey := o.SourceKey != "" && len(o.SourceKey) <= maxKeyLength && utf8.ValidString(o.SourceKey)
	if !ok || !ValidBucket(o.SourceBucket) || !validKey {
		return NewError(CodeInvalidArgument, "x-amz-copy-source must be BUCKET/KEY, URL-encoded.")
	}
	if query != "" && query != "versionId="+nullVersion {
		return versionsNotOffered()
	}
	return nil
}

// checkParams checks the values of the query parameters that hold a number or an encoding type.
func (o *Operation) checkParams() *Error {
	if o.Kind == UploadPart || o.Kind == UploadPartCopy {
		if n, err := strconv.Atoi(o.Query.Get("partNumber")); err != nil || n < 1 || n > MaxPart {
			return NewError(CodeInvalidArgument, "Part number must be an integer between 1 and 10000, inclusive")
		}
	}
	for _, name := range [...]string{"max-keys", "max-uploads", "max-parts"} {
		v := o.Query.Get(name)
		if v == "" {
			continue
		}
		if n, err := strconv.Atoi(v); err != nil || n < 0 {
			return NewError(CodeInvalidArgument, "Argument "+name+" must be an integer between 0 and 2147483647")
		}
	}
	if e := o.Query.Get("encoding-type"); e != "" && e != "url" {
		return NewError(CodeInvalidArgument, "Invalid Encoding Method specified in Request")
	}
	return nil
}

func versionsNotOffered() *Error {
	return NewError(CodeNotImplemented, "Versions are not offered here.")
}
