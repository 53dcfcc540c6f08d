package route

import "strings"

// NormalizePath returns the canonical form of a path by RFC 3986, section 6.2.2: unreserved characters are not encoded,
// and hexadecimal digits are upper case. The result is used for routing and forwarded upstream. NormalizePath does not
// allocate if the path is canonical. The error is ErrMalformedPath or ErrAmbiguousPath.
func NormalizePath(s string) (string, error) {
	isCanonical, err := checkPath(s)
	if err != nil {
		return "", err
	}
	if isCanonical {
		return s, nil
	}
	b := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		if s[i] != '%' {
			b = append(b, s[i])
			continue
		}
		c, _ := decodeEscape(s, i) // checkPath has validated the escape
		if isUnreserved(c) {
			b = append(b, c)
		} else {
			b = append(b, '%', upperHex[c>>4], upperHex[c&15])
		}
		i += 2
	}
	return string(b), nil
}

// EscapePath returns a path in which the bytes that no path of a request can contain are percent-encoded, as clients do. Escapes stay
// as they are, even malformed ones.
func EscapePath(s string) string {
	var b []byte // nil until a byte is encoded
	for i := range len(s) {
		switch c := s[i]; {
		case c != '/' && c != '%' && !isPathChar(c):
			if b == nil {
				b = append(make([]byte, 0, 3*len(s)), s[:i]...)
			}
			b = append(b, '%', upperHex[c>>4], upperHex[c&15])
		case b != nil:
			b = append(b, c)
		}
	}
	if b == nil {
		return s
	}
	return string(b)
}

const upperHex = "0123456789ABCDEF"

// checkPath validates a path and reports whether it is canonical.
func checkPath(s string) (isCanonical bool, err error) {
	if s == "" || s[0] != '/' {
		return false, ErrMalformedPath
	}
	isCanonical = true
	segmentStart := 1
	for i := 1; i <= len(s); i++ {
		if i == len(s) || s[i] == '/' {
			if segment := s[segmentStart:i]; segment == "" && i < len(s) || isDotSegment(segment) {
				return false, ErrAmbiguousPath
			}
			segmentStart = i + 1
			continue
		}
		switch c := s[i]; {
		case c == '%':
			isCanonicalEscape, err := checkEscape(s, i)
			if err != nil {
				return false, err
			}
			isCanonical = isCanonical && isCanonicalEscape
			i += 2
		case c == '\\':
			return false, ErrAmbiguousPath
		case !isPathChar(c):
			return false, ErrMalformedPath
		}
	}
	return isCanonical, nil
}

// checkEscape validates the percent-encoded byte at an index and reports whether it is canonical.
func checkEscape(s string, at int) (isCanonical bool, err error) {
	c, ok := decodeEscape(s, at)
	switch {
	case !ok:
		return false, ErrMalformedPath
	case c == '/', c == '\\', c < ' ', c == 0x7f:
		return false, ErrAmbiguousPath
	}
	return !isUnreserved(c) && !isLowerHex(s[at+1]) && !isLowerHex(s[at+2]), nil
}

// isDotSegment reports whether a segment is . or .., encoded or not.
func isDotSegment(segment string) bool {
	if len(segment) > len("%2e%2e") {
		return false
	}
	dots := 0
	for i := 0; i < len(segment); dots++ {
		switch {
		case segment[i] == '.':
			i++
		case strings.HasPrefix(segment[i:], "%2e"), strings.HasPrefix(segment[i:], "%2E"):
			i += 3
		default:
			return false
		}
	}
	return dots == 1 || dots == 2
}

// decodeEscape decodes the two hexadecimal digits after the percent sign at an index.
func decodeEscape(s string, at int) (c byte, ok bool) {
	if at+2 >= len(s) {
		return 0, false
	}
	high, low := hexDigit(s[at+1]), hexDigit(s[at+2])
	return byte(high<<4 | low), high >= 0 && low >= 0
}

// hexDigit returns the value of a hexadecimal digit, or -1.
func hexDigit(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

func isLowerHex(c byte) bool { return 'a' <= c && c <= 'f' }

// isUnreserved reports whether a character is unreserved by RFC 3986, section 2.3.
func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// isPathChar reports whether a character is a pchar of RFC 3986 that needs no encoding.
func isPathChar(c byte) bool { return isUnreserved(c) || strings.IndexByte("!$&'()*+,;=:@", c) >= 0 }
