package objectapi

import (
	"strings"

	"chalkstand/internal/sigv4"
)

const maxParams = 64 // highest number of query parameters in a request

// Param is one query parameter. Its name and value are unescaped.
type Param struct{ Name, Value string }

// Query holds a request's query parameters in the order in which the request lists them.
type Query []Param

// Get returns the first value of a parameter, or an empty string if the parameter is missing.
func (q Query) Get(name string) string {
	for i := range q {
		if q[i].Name == name {
			return q[i].Value
		}
	}
	return ""
}

// Has reports whether a parameter is present.
func (q Query) Has(name string) bool {
	for i := range q {
		if q[i].Name == name {
			return true
		}
	}
	return false
}

// ParseQuery parses a query string, which is passed without its leading question mark.
func ParseQuery(s string) (Query, *Error) {
	if s == "" {
		return nil, nil
	}
	q := make(Query, 0, 4)
	for p := range strings.SplitSeq(s, "&") {
		if p == "" {
			continue
		}
		rawName, rawValue, _ := strings.Cut(p, "=")
		name, nameOK := sigv4.Unescape(rawName, true)
		value, valueOK := sigv4.Unescape(rawValue, true)
		if !nameOK || !valueOK {
			return nil, NewError(CodeInvalidURI, "The query is not validly escaped.")
		}
		if len(q) == maxParams {
			return nil, NewError(CodeInvalidRequest, "Too many query parameters.")
		}
		q = append(q, Param{name, value})
	}
	return q, nil
}
