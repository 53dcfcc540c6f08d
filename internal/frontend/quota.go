package frontend

import (
	"net/http"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/quota"
)

// noPool is the pool of the quotas that accounts for requests without a pool, and for read buffers.
const noPool = -1

// reservation is what a request holds of the quotas.
type reservation struct {
	pool int
	body int64 // bytes
}

// ConfigurePool sets a pool's claims: of the bytes of bodies, and of the requests that may be coming in or open at once.
func (s *Server) ConfigurePool(id hoststate.PoolID, bodies, requests quota.Claim) {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	s.bodyQuota.SetClaim(int(id), bodies)
	s.requestQuota.SetClaim(int(id), requests)
}

// RemovePool removes a pool's claims.
func (s *Server) RemovePool(id hoststate.PoolID) {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	s.bodyQuota.EndClaim(int(id))
	s.requestQuota.EndClaim(int(id))
}

// BodyBytes returns how many bytes of bodies a pool has reserved.
func (s *Server) BodyBytes(id hoststate.PoolID) int64 {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	return s.bodyQuota.Reserved(int(id))
}

// reserve reserves a request of a pool and the bytes of its body, or rejects it.
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
	if dst.Pool == nil || s.requestQuota.Take(r.pool, 1) { // without a pool, the number of connections is the bound
		if s.bodyQuota.Take(r.pool, body) {
			return r, nil
		}
		s.requestQuota.Release(r.pool, 1)
	}
	return reservation{}, &Rejection{Status: http.StatusServiceUnavailable, Reason: "no room", RetryAfter: retryAfter, bodyUnread: true}
}

// extend reserves more bytes for a body that is coming in, if there are any.
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

// reserveBuffer reserves bytes for the read buffer of a connection, if there are any.
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
