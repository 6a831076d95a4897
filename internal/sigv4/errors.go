package sigv4

// HTTP status codes of the error responses.
const (
	statusBadRequest = 400
	statusForbidden  = 403
)

// Error codes that the object API's specification defines.
const (
	codeAccessDenied                      = "AccessDenied"
	codeAuthorizationHeaderMalformed      = "AuthorizationHeaderMalformed"
	codeAuthorizationQueryParametersError = "AuthorizationQueryParametersError"
	codeInvalidAccessKeyID                = "InvalidAccessKeyId"
	codeInvalidArgument                   = "InvalidArgument"
	codeInvalidRequest                    = "InvalidRequest"
	codeInvalidURI                        = "InvalidURI"
	codeRequestTimeTooSkewed              = "RequestTimeTooSkewed"
	codeSignatureDoesNotMatch             = "SignatureDoesNotMatch"
)

// Error describes why a request's signature is rejected.
type Error struct {
	Status  int    // HTTP status code of the response
	Code    string // error code that the object API's specification defines
	Message string // explanation for the client
}

// Error returns the error's code and message.
func (e *Error) Error() string { return e.Code + ": " + e.Message }

func forbidden(code, message string) *Error { return &Error{statusForbidden, code, message} }

func badRequest(code, message string) *Error { return &Error{statusBadRequest, code, message} }
