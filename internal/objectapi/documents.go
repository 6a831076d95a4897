package objectapi

import (
	"encoding/xml"
	"time"
)

// timeFormat is the time layout of the XML documents.
const timeFormat = "2006-01-02T15:04:05.000Z"

// FormatTime returns a time as text in the time layout of the XML documents.
func FormatTime(t time.Time) string { return t.UTC().Format(timeFormat) }

// Owner is the owner of a bucket, an object or an upload.
type Owner struct {
	ID          string
	DisplayName string
}

// DefaultOwner is the owner that the gateway reports for every bucket, object and upload.
var DefaultOwner = Owner{ID: "chalkstand", DisplayName: "chalkstand"}

// Bucket is the entry of one bucket in a ListAllMyBucketsResult.
type Bucket struct {
	Name         string
	CreationDate string
}

// ListAllMyBucketsResult is the body of the response to ListBuckets.
type ListAllMyBucketsResult struct {
	XMLName xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ ListAllMyBucketsResult"`
	Owner   Owner
	Buckets []Bucket `xml:"Buckets>Bucket"`
}

// LocationConstraint is the body of the response to GetBucketLocation.
type LocationConstraint struct {
	XMLName  xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ LocationConstraint"`
	Location string   `xml:",chardata"`
}

// VersioningConfiguration is the body of the response to GetBucketVersioning. It is empty, which
// means that versioning was never enabled.
type VersioningConfiguration struct {
	XMLName xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ VersioningConfiguration"`
}

// Content is the entry of one object in a ListBucketResult.
type Content struct {
	Key          string
	LastModified string
	ETag         string
	Size         int64
	Owner        *Owner `xml:",omitempty"`
	StorageClass string
}

// CommonPrefix is the entry in a list that replaces all keys with the same prefix. The prefix ends
// with the delimiter of the request.
type CommonPrefix struct{ Prefix string }

// ListBucketResult is the body of the response to both versions of ListObjects. A field marked V1 or
// V2 belongs to that version only.
type ListBucketResult struct {
	XMLName               xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ ListBucketResult"`
	Name                  string
	Prefix                string
	Marker                *string `xml:",omitempty"` // V1 only
	NextMarker            string  `xml:",omitempty"` // V1 only
	ContinuationToken     string  `xml:",omitempty"` // V2 only
	NextContinuationToken string  `xml:",omitempty"` // V2 only
	StartAfter            string  `xml:",omitempty"` // V2 only
	KeyCount              *int    `xml:",omitempty"` // V2 only
	MaxKeys               int
	Delimiter             string `xml:",omitempty"`
	EncodingType          string `xml:",omitempty"`
	IsTruncated           bool
	Contents              []Content
	CommonPrefixes        []CommonPrefix
}

// CopyObjectResult is the body of the response to CopyObject.
type CopyObjectResult struct {
	XMLName      xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ CopyObjectResult"`
	LastModified string
	ETag         string
}

// CopyPartResult is the body of the response to UploadPartCopy.
type CopyPartResult struct {
	XMLName      xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ CopyPartResult"`
	LastModified string
	ETag         string
}
