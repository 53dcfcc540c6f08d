package route

import (
	"errors"
	"net/netip"
	"strings"
)

// Errors of a target. They are the request's own fault: 400.
var (
	ErrMalformedHost = errors.New("the host is malformed")
	ErrMalformedPath = errors.New("the path is malformed")
	// ErrAmbiguousPath: a path with empty segments, . or .. segments, or an encoded slash, backslash or control character.
	// Servers disagree on what such a path names, so that it must not be routed as one thing and served as another.
	ErrAmbiguousPath = errors.New("the path can be read in two ways")
)

// maxHost is the longest name of a host, by RFC 1035, in bytes.
const maxHost = 253

// NormalizeHost returns the canonical form of a Host header's value: lower case, without a port, a trailing dot or an IPv6
// literal's brackets; addresses in the form of RFC 5952. It allocates nothing where the value is canonical already.
func NormalizeHost(s string) (string, error) {
	host, _, err := SplitHostPort(s)
	return host, err
}

// SplitHostPort is Host, and returns the port as it came: "" or with its colon.
func SplitHostPort(s string) (host, port string, err error) {
	if strings.HasPrefix(s, "[") {
		end := strings.IndexByte(s, ']')
		if end < 0 || !validPort(s[end+1:]) {
			return "", "", ErrMalformedHost
		}
		addr, err := netip.ParseAddr(s[1:end])
		if err != nil || !addr.Is6() || addr.Zone() != "" {
			return "", "", ErrMalformedHost
		}
		return addr.String(), s[end+1:], nil
	}
	host = s
	if colon := strings.IndexByte(s, ':'); colon >= 0 {
		host, port = s[:colon], s[colon:]
		if !validPort(port) {
			return "", "", ErrMalformedHost
		}
	}
	host = strings.TrimSuffix(host, ".")
	if host == "" || len(host) > maxHost {
		return "", "", ErrMalformedHost
	}
	label, upper := 0, false
	for i := 0; i < len(host); i++ {
		switch c := host[i]; {
		case 'A' <= c && c <= 'Z':
			upper = true
		case 'a' <= c && c <= 'z', '0' <= c && c <= '9', c == '-', c == '_':
		case c == '.' && label > 0:
			label = 0
			continue
		default:
			return "", "", ErrMalformedHost
		}
		if label++; label > 63 {
			return "", "", ErrMalformedHost
		}
	}
	if label == 0 { // of two trailing dots only one is taken off
		return "", "", ErrMalformedHost
	}
	if upper {
		host = strings.ToLower(host)
	}
	return host, port, nil
}

// validPort takes what follows a host: nothing, or a colon and up to five digits.
func validPort(s string) bool {
	if s == "" {
		return true
	}
	if s[0] != ':' || len(s) > 6 {
		return false
	}
	for i := 1; i < len(s); i++ {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return true
}

// JoinHostPort writes a canonical host and its port as a Host header's value.
func JoinHostPort(host, port string) string {
	switch {
	case strings.IndexByte(host, ':') >= 0:
		return "[" + host + "]" + port
	case port == "":
		return host
	}
	return host + port
}

// NormalizePath returns the one spelling of a path, as RFC 3986, 6.2.2 has it: what need not be encoded is not, and hexadecimal
// digits are upper case. What it returns is both routed and sent on. It allocates nothing where the path is canonical.
func NormalizePath(s string) (string, error) {
	if s == "" || s[0] != '/' {
		return "", ErrMalformedPath
	}
	from := 1 // of the segment
	canonical := true
	for i := 1; i <= len(s); i++ {
		if i == len(s) || s[i] == '/' {
			if seg := s[from:i]; seg == "" && i < len(s) || dots(seg) {
				return "", ErrAmbiguousPath
			}
			from = i + 1
			continue
		}
		switch c := s[i]; {
		case c == '%':
			b, ok := unhex(s, i)
			switch {
			case !ok:
				return "", ErrMalformedPath
			case b == '/', b == '\\', b < ' ', b == 0x7f:
				return "", ErrAmbiguousPath
			case unreserved(b), lower(s[i+1]), lower(s[i+2]):
				canonical = false
			}
			i += 2
		case c == '\\':
			return "", ErrAmbiguousPath
		case !pathByte(c):
			return "", ErrMalformedPath
		}
	}
	if canonical {
		return s, nil
	}
	b := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		if s[i] != '%' {
			b = append(b, s[i])
			continue
		}
		v, _ := unhex(s, i)
		if unreserved(v) {
			b = append(b, v)
		} else {
			b = append(b, '%', upperHex[v>>4], upperHex[v&15])
		}
		i += 2
	}
	return string(b), nil
}

const upperHex = "0123456789ABCDEF"

// dots tells whether a segment is . or .. in any spelling.
func dots(seg string) bool {
	if len(seg) > len("%2e%2e") {
		return false
	}
	n := 0
	for i := 0; i < len(seg); n++ {
		switch {
		case seg[i] == '.':
			i++
		case strings.HasPrefix(seg[i:], "%2e"), strings.HasPrefix(seg[i:], "%2E"):
			i += 3
		default:
			return false
		}
	}
	return n == 1 || n == 2
}

func unhex(s string, at int) (byte, bool) {
	if at+2 >= len(s) {
		return 0, false
	}
	hi, lo := digit(s[at+1]), digit(s[at+2])
	return byte(hi<<4 | lo), hi >= 0 && lo >= 0
}

func digit(c byte) int {
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

func lower(c byte) bool { return 'a' <= c && c <= 'f' }

func unreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// pathByte takes RFC 3986's pchar.
func pathByte(c byte) bool { return unreserved(c) || strings.IndexByte("!$&'()*+,;=:@", c) >= 0 }
