package sigv4

import (
	"encoding/hex"
	"strings"
)

const hexDigits = "0123456789ABCDEF"

// AppendEscape appends s to b in the URI encoding of the specification, which replaces every byte
// other than an unreserved character with %XX. AppendEscape keeps slashes if keepSlash is set.
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

// Unescape decodes each %XX in s. If plusIsSpace is set, as it is for a query, it also decodes each
// plus sign as a space. It returns false if s holds an invalid escape.
func Unescape(s string, plusIsSpace bool) (string, bool) {
	hasPlus := plusIsSpace && strings.IndexByte(s, '+') >= 0
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
		case c == '+' && plusIsSpace:
			b = append(b, ' ')
		default:
			b = append(b, c)
		}
	}
	return string(b), true
}

// canonicalEscape returns raw, a name or value of a raw query string, in canonical escaping. If raw
// is canonical already, as most clients send it, canonicalEscape returns it without a copy. It
// returns false if raw holds an invalid escape.
func canonicalEscape(raw string) (string, bool) {
	if isCanonical(raw) {
		return raw, true
	}
	plain, ok := Unescape(raw, true)
	return string(AppendEscape(nil, plain, false)), ok
}

// isCanonical reports whether a name or value of a raw query string is escaped in the same way as
// AppendEscape escapes it.
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

// hexValue returns the value of a hexadecimal digit c, which must be a decimal digit or an
// upper-case letter.
func hexValue(c byte) byte {
	if c <= '9' {
		return c - '0'
	}
	return c - 'A' + 10
}
