package sigv4

import (
	"strconv"
	"strings"
	"time"

	"chalkstand/internal/http1"
)

// parseAuthorization parses the value of an Authorization header into a claim.
func parseAuthorization(value string) (claim, *Error) {
	parameters, ok := strings.CutPrefix(value, algorithm+" ")
	if !ok {
		return claim{}, badRequest(codeInvalidRequest, "Only "+algorithm+" signatures are accepted.")
	}
	var c claim
	for p := range strings.SplitSeq(parameters, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
		switch name {
		case "Credential":
			c.credential = value
		case "SignedHeaders":
			c.signedHeaders = value
		case "Signature":
			c.signature = value
		}
	}
	if c.credential == "" || c.signedHeaders == "" || c.signature == "" {
		return claim{}, badRequest(codeAuthorizationHeaderMalformed,
			"The Authorization header needs Credential, SignedHeaders and Signature.")
	}
	return c, nil
}

// parseDate parses the date of a request from its X-Amz-Date header, or from its Date header if the
// request has no X-Amz-Date.
func (c *claim) parseDate(headers http1.Headers) *Error {
	var err error
	c.timestamp = string(headers.Get("x-amz-date"))
	if c.timestamp != "" {
		c.date, err = time.Parse(timestampFormat, c.timestamp)
	} else if c.date, err = time.Parse(time.RFC1123, string(headers.Get("date"))); err == nil {
		c.timestamp = c.date.UTC().Format(timestampFormat)
	}
	if err != nil {
		return forbidden(codeAccessDenied, "A valid X-Amz-Date or Date header is needed.")
	}
	return nil
}

// signatureParameter is the name of the query parameter that holds the signature of a presigned URL.
// The signature covers all other parameters of the URL.
const signatureParameter = "X-Amz-Signature"

// presignedClaim holds what a presigned URL states about its signature.
type presignedClaim struct {
	claim
	algorithm string
	lifetime  string        // value of X-Amz-Expires
	expires   time.Duration // validity of the URL, counted from its date
}

// parsePresigned parses and checks the query string of a presigned URL.
func parsePresigned(query string) (presignedClaim, *Error) {
	p := presignedClaim{claim: claim{payload: unsignedPayload, presigned: true}}
	for parameter := range strings.SplitSeq(query, "&") {
		name, raw, _ := strings.Cut(parameter, "=")
		value, _ := Unescape(raw, true)
		p.set(name, value)
	}
	err := p.check()
	return p, err
}

// withoutSignature returns the query string of a presigned URL without the parameter that holds the
// signature.
func withoutSignature(query string) string {
	kept := make([]string, 0, 8)
	for parameter := range strings.SplitSeq(query, "&") {
		if name, _, _ := strings.Cut(parameter, "="); name != signatureParameter {
			kept = append(kept, parameter)
		}
	}
	return strings.Join(kept, "&")
}

func (p *presignedClaim) set(name, value string) {
	switch name {
	case "X-Amz-Algorithm":
		p.algorithm = value
	case "X-Amz-Credential":
		p.credential = value
	case "X-Amz-Date":
		p.timestamp = value
	case "X-Amz-Expires":
		p.lifetime = value
	case "X-Amz-SignedHeaders":
		p.signedHeaders = value
	case "X-Amz-Content-Sha256":
		p.payload = value
	case signatureParameter:
		p.signature = value
	}
}

// check checks that the URL has all required parameters, and parses its date and its lifetime.
func (p *presignedClaim) check() *Error {
	var err error
	p.date, err = time.Parse(timestampFormat, p.timestamp)
	if err != nil || p.algorithm != algorithm || p.credential == "" || p.signedHeaders == "" {
		return badRequest(codeAuthorizationQueryParametersError,
			"X-Amz-Algorithm, -Credential, -Date, -SignedHeaders and -Expires are needed.")
	}
	seconds, err := strconv.Atoi(p.lifetime)
	p.expires = time.Duration(seconds) * time.Second
	if err != nil || seconds < 1 || p.expires > MaxExpires {
		return badRequest(codeAuthorizationQueryParametersError, "X-Amz-Expires must be from 1 to 604800 seconds.")
	}
	return nil
}
