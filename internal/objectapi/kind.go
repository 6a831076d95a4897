package objectapi

// Kind is an operation of the object API.
type Kind int

// The supported operations.
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
	kindCount
)

// kindNames holds the name of each operation in the specification.
var kindNames = [kindCount]string{
	ListBuckets:             "ListBuckets",
	CreateBucket:            "CreateBucket",
	HeadBucket:              "HeadBucket",
	DeleteBucket:            "DeleteBucket",
	GetBucketLocation:       "GetBucketLocation",
	GetBucketVersioning:     "GetBucketVersioning",
	ListObjectsV1:           "ListObjects",
	ListObjectsV2:           "ListObjectsV2",
	ListMultipartUploads:    "ListMultipartUploads",
	DeleteObjects:           "DeleteObjects",
	PutObject:               "PutObject",
	GetObject:               "GetObject",
	HeadObject:              "HeadObject",
	DeleteObject:            "DeleteObject",
	CopyObject:              "CopyObject",
	CreateMultipartUpload:   "CreateMultipartUpload",
	UploadPart:              "UploadPart",
	UploadPartCopy:          "UploadPartCopy",
	CompleteMultipartUpload: "CompleteMultipartUpload",
	AbortMultipartUpload:    "AbortMultipartUpload",
	ListParts:               "ListParts",
}

// String returns the operation's name in the specification.
func (k Kind) String() string {
	if k < 0 || k >= kindCount {
		return "Unknown"
	}
	return kindNames[k]
}

// NumKinds returns the number of operations. Every valid Kind is at least 0 and less than this number.
func NumKinds() int { return int(kindCount) }

// ParseKind returns the operation that has the given name in the specification. It returns false if
// no operation has that name.
func ParseKind(name string) (Kind, bool) {
	for k, n := range kindNames {
		if n == name {
			return Kind(k), true
		}
	}
	return 0, false
}

// Writes reports whether the operation changes stored data.
func (k Kind) Writes() bool {
	switch k {
	case CreateBucket, DeleteBucket, DeleteObjects, PutObject, DeleteObject, CopyObject, CreateMultipartUpload,
		UploadPart, UploadPartCopy, CompleteMultipartUpload, AbortMultipartUpload:
		return true
	}
	return false
}

// HasBody reports whether the gateway reads the body of a request for the operation.
func (k Kind) HasBody() bool {
	switch k {
	case PutObject, UploadPart, DeleteObjects, CompleteMultipartUpload, CreateBucket:
		return true
	}
	return false
}

// Streams reports whether the body of a request for the operation is an object's data and not an
// XML document.
func (k Kind) Streams() bool { return k == PutObject || k == UploadPart }
