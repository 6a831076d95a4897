package objectapi

import "encoding/xml"

// DeleteRequest is the body of a DeleteObjects request.
type DeleteRequest struct {
	XMLName xml.Name           `xml:"Delete"`
	Quiet   bool               `xml:",omitempty"`
	Objects []ObjectIdentifier `xml:"Object"`
}

// ObjectIdentifier names one object that a DeleteObjects request deletes.
type ObjectIdentifier struct {
	Key       string
	VersionID string `xml:"VersionId,omitempty"`
}

// Deleted is the entry of an object that was deleted or did not exist.
type Deleted struct{ Key string }

// DeleteError is the entry of an object that could not be deleted.
type DeleteError struct {
	Key     string
	Code    string
	Message string
}

// DeleteResult is the body of the response to DeleteObjects.
type DeleteResult struct {
	XMLName xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ DeleteResult"`
	Deleted []Deleted
	Error   []DeleteError
}

// maxDeleteKeys is the highest number of keys that the specification allows in one DeleteObjects
// request.
const maxDeleteKeys = 1000

// ParseDelete parses and checks the body of a DeleteObjects request.
func ParseDelete(doc []byte) (*DeleteRequest, *Error) {
	var d DeleteRequest
	if xml.Unmarshal(doc, &d) != nil || len(d.Objects) == 0 || len(d.Objects) > maxDeleteKeys {
		return nil, NewError(CodeMalformedXML, "The XML must be a Delete of 1 to 1000 objects.")
	}
	for _, o := range d.Objects {
		if o.Key == "" || len(o.Key) > maxKeyLength {
			return nil, NewError(CodeMalformedXML, "An Object must have a Key of at most 1024 bytes.")
		}
		if o.VersionID != "" && o.VersionID != nullVersion {
			return nil, versionsNotOffered()
		}
	}
	return &d, nil
}
