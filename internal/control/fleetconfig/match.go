package fleetconfig

// MatchKey is what requests are matched against to find a route. No two routes of a configuration have the same key. Hosts are
// compared without regard to the case of ASCII letters, path prefixes literally.
type MatchKey struct {
	Host       string // as HostKey returns it
	PathPrefix string
}

// MatchKey returns the key of a route.
func (r *Route) MatchKey() MatchKey { return MatchKey{HostKey(r.Hostname), r.PathPrefix} }

// HostKey returns a host with its ASCII letters in lower case. It does not allocate if they are.
func HostKey(host string) string {
	for i := range len(host) {
		if isUpper(host[i]) {
			return lowerASCII(host)
		}
	}
	return host
}

func lowerASCII(s string) string {
	b := []byte(s)
	for i, c := range b {
		if isUpper(c) {
			b[i] = c + 'a' - 'A'
		}
	}
	return string(b)
}

func isUpper(c byte) bool { return 'A' <= c && c <= 'Z' }
