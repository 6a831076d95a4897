package objectapi

import (
	"encoding/xml"
	"time"
)

// Namespace is that of the specification's documents.
const Namespace = "http://s3.amazonaws.com/doc/2006-03-01/"

// TimeFormat is that of times in documents.
const TimeFormat = "2006-01-02T15:04:05.000Z"

// FormatTime writes a time as documents have it.
func FormatTime(t time.Time) string { return t.UTC().Format(TimeFormat) }

// Owner is the owner of everything here.
type Owner struct{ ID, DisplayName string }

// TheOwner stands in every place where the specification wants one.
var TheOwner = Owner{"chalkstand", "chalkstand"}

// Bucket is an entry of ListAllMyBucketsResult.
type Bucket struct{ Name, CreationDate string }

// ListAllMyBucketsResult answers ListBuckets.
type ListAllMyBucketsResult struct {
	XMLName xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ ListAllMyBucketsResult"`
	Owner   Owner
	Buckets []Bucket `xml:"Buckets>Bucket"`
}

// LocationConstraint answers GetBucketLocation.
type LocationConstraint struct {
	XMLName  xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ LocationConstraint"`
	Location string   `xml:",chardata"`
}

// VersioningConfiguration answers GetBucketVersioning.
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

// CommonPrefix is a group of keys in a list.
type CommonPrefix struct{ Prefix string }

// ListBucketResult answers ListObjects, both versions.
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

// InitiateMultipartUploadResult answers CreateMultipartUpload.
type InitiateMultipartUploadResult struct {
	XMLName               xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ InitiateMultipartUploadResult"`
	Bucket, Key, UploadId string
}

// CompletedPart is a part named in CompleteMultipartUpload.
type CompletedPart struct {
	PartNumber int
	ETag       string
}

// CompleteMultipartUploadRequest is the body of CompleteMultipartUpload.
type CompleteMultipartUploadRequest struct {
	XMLName xml.Name        `xml:"CompleteMultipartUpload"`
	Parts   []CompletedPart `xml:"Part"`
}

// CompleteMultipartUploadResult answers CompleteMultipartUpload.
type CompleteMultipartUploadResult struct {
	XMLName                     xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ CompleteMultipartUploadResult"`
	Location, Bucket, Key, ETag string
}

// CopyObjectResult answers CopyObject.
type CopyObjectResult struct {
	XMLName            xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ CopyObjectResult"`
	LastModified, ETag string
}

// CopyPartResult answers UploadPartCopy.
type CopyPartResult struct {
	XMLName            xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ CopyPartResult"`
	LastModified, ETag string
}

// Part is an entry of ListPartsResult.
type Part struct {
	PartNumber         int
	LastModified, ETag string
	Size               int64
}

// ListPartsResult answers ListParts.
type ListPartsResult struct {
	XMLName               xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ ListPartsResult"`
	Bucket, Key, UploadId string
	Initiator, Owner      Owner
	StorageClass          string
	PartNumberMarker      int
	NextPartNumberMarker  int
	MaxParts              int
	IsTruncated           bool
	Part                  []Part
}

// Upload is an upload under way.
type Upload struct {
	Key, UploadId    string
	Initiator, Owner Owner
	StorageClass     string
	Initiated        string
}

// ListMultipartUploadsResult answers ListMultipartUploads.
type ListMultipartUploadsResult struct {
	XMLName                           xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ ListMultipartUploadsResult"`
	Bucket, KeyMarker, UploadIdMarker string
	NextKeyMarker, NextUploadIdMarker string `xml:",omitempty"`
	Prefix, Delimiter                 string `xml:",omitempty"`
	EncodingType                      string `xml:",omitempty"`
	MaxUploads                        int
	IsTruncated                       bool
	Upload                            []Upload
	CommonPrefixes                    []CommonPrefix
}

// DeleteRequest is the body of DeleteObjects.
type DeleteRequest struct {
	XMLName xml.Name           `xml:"Delete"`
	Quiet   bool               `xml:",omitempty"`
	Objects []ObjectIdentifier `xml:"Object"`
}

// ObjectIdentifier names an object to delete.
type ObjectIdentifier struct {
	Key       string
	VersionId string `xml:",omitempty"`
}

// Deleted is a key that is gone.
type Deleted struct{ Key string }

// DeleteError is a key that was not deleted.
type DeleteError struct{ Key, Code, Message string }

// DeleteResult answers DeleteObjects.
type DeleteResult struct {
	XMLName xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ DeleteResult"`
	Deleted []Deleted
	Error   []DeleteError
}

// MaxDelete is the most keys in one DeleteObjects, by the specification.
const MaxDelete = 1000

// ParseDelete reads and checks the body of DeleteObjects.
func ParseDelete(b []byte) (*DeleteRequest, *Error) {
	var d DeleteRequest
	if xml.Unmarshal(b, &d) != nil || len(d.Objects) == 0 || len(d.Objects) > MaxDelete {
		return nil, Errorf("MalformedXML", "The XML must be a Delete of 1 to 1000 objects.")
	}
	for _, o := range d.Objects {
		if o.Key == "" || len(o.Key) > maxKey {
			return nil, Errorf("MalformedXML", "An Object must have a Key of at most 1024 bytes.")
		}
		if o.VersionId != "" && o.VersionId != "null" {
			return nil, Errorf("NotImplemented", "Versions are not offered here.")
		}
	}
	return &d, nil
}

// ParseComplete reads and checks the body of CompleteMultipartUpload.
func ParseComplete(b []byte) ([]CompletedPart, *Error) {
	var d CompleteMultipartUploadRequest
	if xml.Unmarshal(b, &d) != nil || len(d.Parts) == 0 || len(d.Parts) > MaxPart {
		return nil, Errorf("MalformedXML", "The XML must be a CompleteMultipartUpload of 1 to 10000 parts.")
	}
	for i, p := range d.Parts {
		if p.PartNumber < 1 || p.PartNumber > MaxPart || p.ETag == "" {
			return nil, Errorf("MalformedXML", "A Part must have a PartNumber from 1 to 10000 and an ETag.")
		}
		if i > 0 && d.Parts[i-1].PartNumber >= p.PartNumber {
			return nil, Errorf("InvalidPartOrder", "The list of parts was not in ascending order.")
		}
	}
	return d.Parts, nil
}
