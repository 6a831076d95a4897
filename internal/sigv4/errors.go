package sigv4

// Status codes of HTTP.
const (
	statusBadRequest = 400
	statusForbidden  = 403
)

// Error codes, by the specification.
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

// Error is why a signature is rejected.
type Error struct {
	Status  int    // of HTTP
	Code    string // by the specification
	Message string // for the client
}

// Error returns code and message.
func (e *Error) Error() string { return e.Code + ": " + e.Message }

func denied(code, message string) *Error { return &Error{statusForbidden, code, message} }

func invalid(code, message string) *Error { return &Error{statusBadRequest, code, message} }
