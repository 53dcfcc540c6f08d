package frontend

import (
	"net/http"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/quota"
)

// noPool is the quota key of requests without a pool and of read buffers.
const noPool = -1

// reservation is the share of the quotas that a request holds: one request, and the bytes of its body.
type reservation struct {
	pool int
	body int64 // bytes
}

// ConfigurePool sets the claims of a pool: to bytes of bodies, and to requests that are being read or answered.
func (s *Server) ConfigurePool(id hoststate.PoolID, bodies, requests quota.Claim) {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	s.bodyQuota.SetClaim(int(id), bodies)
	s.requestQuota.SetClaim(int(id), requests)
}

// RemovePool removes the claims of a pool.
func (s *Server) RemovePool(id hoststate.PoolID) {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	s.bodyQuota.EndClaim(int(id))
	s.requestQuota.EndClaim(int(id))
}

// BodyBytes returns the number of body bytes that the requests of a pool have reserved.
func (s *Server) BodyBytes(id hoststate.PoolID) int64 {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	return s.bodyQuota.Reserved(int(id))
}

// reserve reserves quota for a request and the bytes of its body, or rejects the request.
func (s *Server) reserve(dst *Destination, body int64) (reservation, *Rejection) {
	r := reservation{noPool, body}
	retryAfter := s.Limits.OverloadRetryAfter
	if dst.Pool != nil {
		r.pool = int(dst.Pool.ID)
		if dst.Pool.RetryAfter > 0 {
			retryAfter = dst.Pool.RetryAfter
		}
	}
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	if dst.Pool == nil || s.requestQuota.Take(r.pool, 1) { // requests without a pool are bounded by the number of connections
		if s.bodyQuota.Take(r.pool, body) {
			return r, nil
		}
		s.requestQuota.Release(r.pool, 1)
	}
	return reservation{}, &Rejection{Status: http.StatusServiceUnavailable, Reason: "no room", RetryAfter: retryAfter, bodyUnread: true}
}

// extend reserves additional bytes for a body that is being read. It reports whether they are available.
func (s *Server) extend(r *reservation, bytes int64) bool {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	if bytes <= 0 || !s.bodyQuota.Take(r.pool, bytes) {
		return false
	}
	r.body += bytes
	return true
}

func (s *Server) release(r reservation) {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	s.bodyQuota.Release(r.pool, r.body)
	s.requestQuota.Release(r.pool, 1)
}

// reserveBuffer reserves bytes for the read buffer of a connection and reports whether they are available.
func (s *Server) reserveBuffer(bytes int64) bool {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	return s.bodyQuota.Take(noPool, bytes)
}

func (s *Server) releaseBuffer(bytes int64) {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	s.bodyQuota.Release(noPool, bytes)
}
