package objectapi

import "encoding/xml"

// Error codes that the object API's specification defines. Each code determines the HTTP status of
// its response.
const (
	CodeAccessDenied               = "AccessDenied"
	CodeBadDigest                  = "BadDigest"
	CodeBucketAlreadyExists        = "BucketAlreadyExists"
	CodeBucketAlreadyOwnedByYou    = "BucketAlreadyOwnedByYou"
	CodeBucketNotEmpty             = "BucketNotEmpty"
	CodeConditionalRequestConflict = "ConditionalRequestConflict"
	CodeEntityTooLarge             = "EntityTooLarge"
	CodeEntityTooSmall             = "EntityTooSmall"
	CodeGatewayTimeout             = "GatewayTimeout"
	CodeIncompleteBody             = "IncompleteBody"
	CodeInternalError              = "InternalError"
	CodeInvalidAccessKeyID         = "InvalidAccessKeyId"
	CodeInvalidArgument            = "InvalidArgument"
	CodeInvalidBucketName          = "InvalidBucketName"
	CodeInvalidDigest              = "InvalidDigest"
	CodeInvalidPart                = "InvalidPart"
	CodeInvalidPartOrder           = "InvalidPartOrder"
	CodeInvalidRange               = "InvalidRange"
	CodeInvalidRequest             = "InvalidRequest"
	CodeInvalidStorageClass        = "InvalidStorageClass"
	CodeInvalidURI                 = "InvalidURI"
	CodeKeyTooLongError            = "KeyTooLongError"
	CodeMalformedXML               = "MalformedXML"
	CodeMethodNotAllowed           = "MethodNotAllowed"
	CodeMissingContentLength       = "MissingContentLength"
	CodeNoSuchBucket               = "NoSuchBucket"
	CodeNoSuchKey                  = "NoSuchKey"
	CodeNoSuchUpload               = "NoSuchUpload"
	CodeNotImplemented             = "NotImplemented"
	CodeNotModified                = "NotModified"
	CodePreconditionFailed         = "PreconditionFailed"
	CodeRequestTimeTooSkewed       = "RequestTimeTooSkewed"
	CodeRequestTimeout             = "RequestTimeout"
	CodeServiceUnavailable         = "ServiceUnavailable"
	CodeSignatureDoesNotMatch      = "SignatureDoesNotMatch"
	CodeSlowDown                   = "SlowDown"
	CodeContentSHA256Mismatch      = "XAmzContentSHA256Mismatch"
)

// HTTP status codes of the error responses.
const (
	statusNotModified           = 304
	statusBadRequest            = 400
	statusForbidden             = 403
	statusNotFound              = 404
	statusMethodNotAllowed      = 405
	statusConflict              = 409
	statusLengthRequired        = 411
	statusPreconditionFailed    = 412
	statusRequestEntityTooLarge = 413
	statusRangeNotSatisfiable   = 416
	statusInternalServerError   = 500
	statusNotImplemented        = 501
	statusServiceUnavailable    = 503
	statusGatewayTimeout        = 504
)

// statuses maps error codes to HTTP status codes. A code that is missing has the status 400.
var statuses = map[string]int{
	CodeAccessDenied:               statusForbidden,
	CodeBucketAlreadyExists:        statusConflict,
	CodeBucketAlreadyOwnedByYou:    statusConflict,
	CodeBucketNotEmpty:             statusConflict,
	CodeConditionalRequestConflict: statusConflict,
	CodeEntityTooLarge:             statusRequestEntityTooLarge,
	CodeGatewayTimeout:             statusGatewayTimeout,
	CodeInternalError:              statusInternalServerError,
	CodeInvalidAccessKeyID:         statusForbidden,
	CodeInvalidRange:               statusRangeNotSatisfiable,
	CodeMethodNotAllowed:           statusMethodNotAllowed,
	CodeMissingContentLength:       statusLengthRequired,
	CodeNoSuchBucket:               statusNotFound,
	CodeNoSuchKey:                  statusNotFound,
	CodeNoSuchUpload:               statusNotFound,
	CodeNotImplemented:             statusNotImplemented,
	CodeNotModified:                statusNotModified,
	CodePreconditionFailed:         statusPreconditionFailed,
	CodeRequestTimeTooSkewed:       statusForbidden,
	CodeServiceUnavailable:         statusServiceUnavailable,
	CodeSignatureDoesNotMatch:      statusForbidden,
	CodeSlowDown:                   statusServiceUnavailable,
}

// Error is an error response of the object API.
type Error struct {
	Code    string // error code that the specification defines
	Message string // explanation for the client
}

// NewError returns an Error with the given code and message.
func NewError(code, message string) *Error { return &Error{code, message} }

// Error returns the error's code and message.
func (e *Error) Error() string { return e.Code + ": " + e.Message }

// Status returns the HTTP status code that belongs to the error's code.
func (e *Error) Status() int {
	if s, ok := statuses[e.Code]; ok {
		return s
	}
	return statusBadRequest
}

// errorDocument is the XML document of an error response.
type errorDocument struct {
	XMLName   xml.Name `xml:"Error"`
	Code      string
	Message   string
	Resource  string
	RequestID string `xml:"RequestId"`
}

// Document returns the error as an XML document.
func (e *Error) Document(resource, requestID string) []byte {
	return Marshal(errorDocument{
		Code:      e.Code,
		Message:   e.Message,
		Resource:  resource,
		RequestID: requestID,
	})
}

// ParseError parses the XML document of an error response. It returns false if doc is not such a
// document.
func ParseError(doc []byte) (*Error, bool) {
	var d errorDocument
	if xml.Unmarshal(doc, &d) != nil || d.Code == "" {
		return nil, false
	}
	return &Error{d.Code, d.Message}, true
}
