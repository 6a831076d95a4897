package objectapi

import "encoding/xml"

// InitiateMultipartUploadResult is the body of the response to CreateMultipartUpload.
type InitiateMultipartUploadResult struct {
	XMLName  xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ InitiateMultipartUploadResult"`
	Bucket   string
	Key      string
	UploadID string `xml:"UploadId"`
}

// CompletedPart names one part of the object in a CompleteMultipartUpload request.
type CompletedPart struct {
	PartNumber int
	ETag       string
}

// CompleteMultipartUploadRequest is the body of a CompleteMultipartUpload request.
type CompleteMultipartUploadRequest struct {
	XMLName xml.Name        `xml:"CompleteMultipartUpload"`
	Parts   []CompletedPart `xml:"Part"`
}

// CompleteMultipartUploadResult is the body of the response to CompleteMultipartUpload.
type CompleteMultipartUploadResult struct {
	XMLName  xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ CompleteMultipartUploadResult"`
	Location string
	Bucket   string
	Key      string
	ETag     string
}

// Part is the entry of one part in a ListPartsResult.
type Part struct {
	PartNumber   int
	LastModified string
	ETag         string
	Size         int64
}

// ListPartsResult is the body of the response to ListParts.
type ListPartsResult struct {
	XMLName              xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ ListPartsResult"`
	Bucket               string
	Key                  string
	UploadID             string `xml:"UploadId"`
	Initiator            Owner
	Owner                Owner
	StorageClass         string
	PartNumberMarker     int
	NextPartNumberMarker int
	MaxParts             int
	IsTruncated          bool
	Part                 []Part
}

// Upload is the entry of one multipart upload in progress in a ListMultipartUploadsResult.
type Upload struct {
	Key          string
	UploadID     string `xml:"UploadId"`
	Initiator    Owner
	Owner        Owner
	StorageClass string
	Initiated    string
}

// ListMultipartUploadsResult is the body of the response to ListMultipartUploads.
type ListMultipartUploadsResult struct {
	XMLName            xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ ListMultipartUploadsResult"`
	Bucket             string
	KeyMarker          string
	UploadIDMarker     string `xml:"UploadIdMarker"`
	NextKeyMarker      string `xml:",omitempty"`
	NextUploadIDMarker string `xml:"NextUploadIdMarker,omitempty"`
	Prefix             string `xml:",omitempty"`
	Delimiter          string `xml:",omitempty"`
	EncodingType       string `xml:",omitempty"`
	MaxUploads         int
	IsTruncated        bool
	Upload             []Upload
	CommonPrefixes     []CommonPrefix
}

// ParseComplete parses and checks the body of a CompleteMultipartUpload request. It returns the
// parts that the body lists.
func ParseComplete(doc []byte) ([]CompletedPart, *Error) {
	var d CompleteMultipartUploadRequest
	if xml.Unmarshal(doc, &d) != nil || len(d.Parts) == 0 || len(d.Parts) > MaxPart {
		return nil, NewError(CodeMalformedXML, "The XML must be a CompleteMultipartUpload of 1 to 10000 parts.")
	}
	for i, p := range d.Parts {
		if p.PartNumber < 1 || p.PartNumber > MaxPart || p.ETag == "" {
			return nil, NewError(CodeMalformedXML, "A Part must have a PartNumber from 1 to 10000 and an ETag.")
		}
		if i > 0 && d.Parts[i-1].PartNumber >= p.PartNumber {
			return nil, NewError(CodeInvalidPartOrder, "The list of parts was not in ascending order.")
		}
	}
	return d.Parts, nil
}
