package sigv4

import (
	"encoding/hex"
	"strings"
)

const hexDigits = "0123456789ABCDEF"

// AppendEscape appends s in the specification's URI encoding: every byte that is not an
// unreserved character becomes %XX. A slash is kept if keepSlash is set.
func AppendEscape(b []byte, s string, keepSlash bool) []byte {
	for i := range len(s) {
		c := s[i]
		if isUnreserved(c) || c == '/' && keepSlash {
			b = append(b, c)
		} else {
			b = append(b, '%', hexDigits[c>>4], hexDigits[c&15])
		}
	}
	return b
}

// Unescape decodes %XX, and + as a blank if plusIsBlank is set (in a query). It returns false
// for an invalid escape.
func Unescape(s string, plusIsBlank bool) (string, bool) {
	hasPlus := plusIsBlank && strings.IndexByte(s, '+') >= 0
	if !hasPlus && strings.IndexByte(s, '%') < 0 {
		return s, true
	}
	b := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c == '%':
			if i+2 >= len(s) {
				return "", false
			}
			var decoded [1]byte
			if _, err := hex.Decode(decoded[:], []byte(s[i+1:i+3])); err != nil {
				return "", false
			}
			b = append(b, decoded[0])
			i += 2
		case c == '+' && plusIsBlank:
			b = append(b, ' ')
		default:
			b = append(b, c)
		}
	}
	return string(b), true
}

// canonicalEscape returns the canonical escaping of a raw part of a query, and false if its
// escaping is invalid. A part that is canonical, as most clients send it, is returned as it is.
func canonicalEscape(raw string) (string, bool) {
	if isCanonical(raw) {
		return raw, true
	}
	plain, ok := Unescape(raw, true)
	return string(AppendEscape(nil, plain, false)), ok
}

// isCanonical reports whether a raw part of a query is escaped as AppendEscape does it.
func isCanonical(raw string) bool {
	for i := 0; i < len(raw); i++ {
		if isUnreserved(raw[i]) {
			continue
		}
		if raw[i] != '%' || i+2 >= len(raw) || !isUpperHex(raw[i+1]) || !isUpperHex(raw[i+2]) {
			return false
		}
		if isUnreserved(hexValue(raw[i+1])<<4 | hexValue(raw[i+2])) {
			return false
		}
		i += 2
	}
	return true
}

func isUnreserved(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '-' || c == '_' || c == '.' || c == '~'
}

func isUpperHex(c byte) bool { return '0' <= c && c <= '9' || 'A' <= c && c <= 'F' }

// hexValue returns the value of a digit for which isUpperHex holds.
func hexValue(c byte) byte {
	if c <= '9' {
		return c - '0'
	}
	return c - 'A' + 10
}
