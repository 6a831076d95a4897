package sigv4

import (
	"slices"
	"strings"

	"chalkstand/internal/http1"
)

const (
	maxSignedHeaders = 100
	amzPrefix        = "x-amz-"
)

// canonicalRequest returns the canonical form of a request. The client signs the hash of this form.
// signedHeaders holds the names of the signed headers, separated by semicolons.
func canonicalRequest(r *http1.Request, path, query, signedHeaders, payload string) ([]byte, *Error) {
	names := strings.Split(signedHeaders, ";")
	if err := checkSignedHeaders(r.Headers, names); err != nil {
		return nil, err
	}
	b := make([]byte, 0, 1024)
	b = append(b, r.Method...)
	b = append(b, '\n')
	plain, ok := Unescape(path, false)
	if !ok {
		return nil, badRequest(codeInvalidURI, "The path is not validly escaped.")
	}
	b = AppendEscape(b, plain, true)
	b = append(b, '\n')
	b, err := appendQuery(b, query)
	if err != nil {
		return nil, err
	}
	b = append(b, '\n')
	for _, name := range names {
		b = appendHeader(b, r.Headers, name)
	}
	b = append(b, '\n')
	b = append(b, signedHeaders...)
	b = append(b, '\n')
	return append(b, payload...), nil
}

// checkSignedHeaders checks that names holds Host and every x-amz- header of the request, because
// an attacker could change an unsigned header between the client and the gateway.
func checkSignedHeaders(headers http1.Headers, names []string) *Error {
	if len(names) > maxSignedHeaders || !slices.IsSorted(names) || !slices.Contains(names, "host") {
		return badRequest(codeAuthorizationHeaderMalformed, "SignedHeaders must be sorted and hold host.")
	}
	for _, h := range headers {
		if len(h.Name) <= len(amzPrefix) || !http1.EqualFold(h.Name[:len(amzPrefix)], amzPrefix) {
			continue
		}
		if _, ok := slices.BinarySearch(names, strings.ToLower(string(h.Name))); !ok {
			return forbidden(codeAccessDenied, "There were headers present in the request which were not signed.")
		}
	}
	return nil
}

// appendHeader appends the canonical line of the header with the given name. The line holds all
// values of the header, separated by commas.
func appendHeader(b []byte, headers http1.Headers, name string) []byte {
	b = append(b, name...)
	b = append(b, ':')
	first := true
	for i := range headers {
		if !http1.EqualFold(headers[i].Name, name) {
			continue
		}
		if !first {
			b = append(b, ',')
		}
		first = false
		b = appendCollapsed(b, headers[i].Value)
	}
	return append(b, '\n')
}

// appendCollapsed appends v to b with each run of spaces replaced by one space.
func appendCollapsed(b, v []byte) []byte {
	for i, c := range v {
		if c == ' ' && i > 0 && v[i-1] == ' ' {
			continue
		}
		b = append(b, c)
	}
	return b
}

// parameter is a query parameter in canonical form.
type parameter struct{ name, value string }

func (p parameter) compare(q parameter) int {
	if c := strings.Compare(p.name, q.name); c != 0 {
		return c
	}
	return strings.Compare(p.value, q.value)
}

// appendQuery appends the canonical query string, which holds the escaped parameters in sorted order.
func appendQuery(b []byte, query string) ([]byte, *Error) {
	if query == "" {
		return b, nil
	}
	parameters := make([]parameter, 0, 8)
	for p := range strings.SplitSeq(query, "&") {
		if p == "" {
			continue
		}
		rawName, rawValue, _ := strings.Cut(p, "=")
		name, nameOK := canonicalEscape(rawName)
		value, valueOK := canonicalEscape(rawValue)
		if !nameOK || !valueOK {
			return nil, badRequest(codeInvalidURI, "The query is not validly escaped.")
		}
		parameters = append(parameters, parameter{name, value})
	}
	slices.SortFunc(parameters, parameter.compare)
	for i, p := range parameters {
		if i > 0 {
			b = append(b, '&')
		}
		b = append(b, p.name...)
		b = append(b, '=')
		b = append(b, p.value...)
	}
	return b, nil
}
