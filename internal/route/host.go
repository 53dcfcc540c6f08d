package route

import (
	"net/netip"
	"strings"
)

// Bounds of a host name in bytes, by RFC 1035.
const (
	maxHostBytes  = 253
	maxLabelBytes = 63
)

// NormalizeHost returns the canonical form of a Host header's value: lower case, without the port, a trailing dot or the
// brackets of an IPv6 literal; addresses in the form of RFC 5952. It does not allocate if the value is canonical. The
// error is ErrMalformedHost.
func NormalizeHost(s string) (string, error) {
	host, _, err := SplitHostPort(s)
	return host, err
}

// SplitHostPort returns the canonical host, as NormalizeHost does, and the port as received: "", or a colon and the port.
func SplitHostPort(s string) (host, port string, err error) {
	if strings.HasPrefix(s, "[") {
		return splitIPv6(s)
	}
	host = s
	if colon := strings.IndexByte(s, ':'); colon >= 0 {
		host, port = s[:colon], s[colon:]
		if !isValidPort(port) {
			return "", "", ErrMalformedHost
		}
	}
	host = strings.TrimSuffix(host, ".")
	isValid, hasUpper := checkHostName(host)
	if !isValid {
		return "", "", ErrMalformedHost
	}
	if hasUpper {
		host = strings.ToLower(host)
	}
	return host, port, nil
}

// splitIPv6 splits an IPv6 literal in brackets from its port.
func splitIPv6(s string) (host, port string, err error) {
	end := strings.IndexByte(s, ']')
	if end < 0 || !isValidPort(s[end+1:]) {
		return "", "", ErrMalformedHost
	}
	addr, err := netip.ParseAddr(s[1:end])
	if err != nil || !addr.Is6() || addr.Zone() != "" {
		return "", "", ErrMalformedHost
	}
	return addr.String(), s[end+1:], nil
}

// checkHostName reports whether a name without its trailing dot is valid, and whether it has upper-case letters.
func checkHostName(host string) (isValid, hasUpper bool) {
	if host == "" || len(host) > maxHostBytes {
		return false, false
	}
	labelBytes := 0
	for i := 0; i < len(host); i++ {
		switch c := host[i]; {
		case 'A' <= c && c <= 'Z':
			hasUpper = true
		case 'a' <= c && c <= 'z', '0' <= c && c <= '9', c == '-', c == '_':
		case c == '.' && labelBytes > 0:
			labelBytes = 0
			continue
		default:
			return false, false
		}
		if labelBytes++; labelBytes > maxLabelBytes {
			return false, false
		}
	}
	return labelBytes > 0, hasUpper // an empty last label means a second trailing dot
}

// isValidPort reports whether s can follow a host: it is empty, or a colon and up to five digits.
func isValidPort(s string) bool {
	if s == "" {
		return true
	}
	if s[0] != ':' || len(s) > len(":65535") {
		return false
	}
	for i := 1; i < len(s); i++ {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return true
}

// JoinHostPort returns the Host header's value for a canonical host and a port as SplitHostPort returns it.
func JoinHostPort(host, port string) string {
	switch {
	case strings.IndexByte(host, ':') >= 0:
		return "[" + host + "]" + port
	case port == "":
		return host
	}
	return host + port
}
