package objectapi

import (
	"encoding/xml"
	"time"
)

// timeFormat is the form of times in documents.
const timeFormat = "2006-01-02T15:04:05.000Z"

// FormatTime returns a time in the form of documents.
func FormatTime(t time.Time) string { return t.UTC().Format(timeFormat) }

// Owner is the owner of a bucket, an object or an upload.
type Owner struct {
	ID          string
	DisplayName string
}

// TheOwner owns everything.
var TheOwner = Owner{ID: "chalkstand", DisplayName: "chalkstand"}

// Bucket is an entry of ListAllMyBucketsResult.
type Bucket struct {
	Name         string
	CreationDate string
}

// ListAllMyBucketsResult is the response of ListBuckets.
type ListAllMyBucketsResult struct {
	XMLName xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ ListAllMyBucketsResult"`
	Owner   Owner
	Buckets []Bucket `xml:"Buckets>Bucket"`
}

// LocationConstraint is the response of GetBucketLocation.
type LocationConstraint struct {
	XMLName  xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ LocationConstraint"`
	Location string   `xml:",chardata"`
}

// VersioningConfiguration is the response of GetBucketVersioning: versioning was never enabled.
type VersioningConfiguration struct {
	XMLName xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ VersioningConfiguration"`
}

// Content is an object in a list.
type Content struct {
	Key          string
	LastModified string
	ETag         string
	Size         int64
	Owner        *Owner `xml:",omitempty"`
	StorageClass string
}

// CommonPrefix stands for all keys of a list with the same prefix up to a delimiter.
type CommonPrefix struct{ Prefix string }

// ListBucketResult is the response of both versions of ListObjects. Fields marked V1 or V2 belong
// to one of them.
type ListBucketResult struct {
	XMLName               xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ ListBucketResult"`
	Name                  string
	Prefix                string
	Marker                *string `xml:",omitempty"` // V1
	NextMarker            string  `xml:",omitempty"` // V1
	ContinuationToken     string  `xml:",omitempty"` // V2
	NextContinuationToken string  `xml:",omitempty"` // V2
	StartAfter            string  `xml:",omitempty"` // V2
	KeyCount              *int    `xml:",omitempty"` // V2
	MaxKeys               int
	Delimiter             string `xml:",omitempty"`
	EncodingType          string `xml:",omitempty"`
	IsTruncated           bool
	Contents              []Content
	CommonPrefixes        []CommonPrefix
}

// CopyObjectResult is the response of CopyObject.
type CopyObjectResult struct {
	XMLName      xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ CopyObjectResult"`
	LastModified string
	ETag         string
}

// CopyPartResult is the response of UploadPartCopy.
type CopyPartResult struct {
	XMLName      xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ CopyPartResult"`
	LastModified string
	ETag         string
}
