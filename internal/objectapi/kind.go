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

// kindNames are the names of the specification.
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

// Kinds returns the number of operations. Each Kind is below it.
func Kinds() int { return int(kindCount) }

// KindNamed returns the operation with the given name, and whether there is one.
func KindNamed(name string) (Kind, bool) {
	for k, n := range kindNames {
		if n == name {
			return Kind(k), true
		}
	}
	return 0, false
}

// Writes reports whether the operation changes what is stored.
func (k Kind) Writes() bool {
	switch k {
	case CreateBucket, DeleteBucket, DeleteObjects, PutObject, DeleteObject, CopyObject, CreateMultipartUpload,
		UploadPart, UploadPartCopy, CompleteMultipartUpload, AbortMultipartUpload:
		return true
	}
	return false
}

// HasBody reports whether a request for the operation carries a body that is read.
func (k Kind) HasBody() bool {
	switch k {
	case PutObject, UploadPart, DeleteObjects, CompleteMultipartUpload, CreateBucket:
		return true
	}
	return false
}

// Streams reports whether the body is an object's data rather than a document.
func (k Kind) Streams() bool { return k == PutObject || k == UploadPart }
