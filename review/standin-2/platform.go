package main

import (
	"io"
	"net"
	"net/http"
)

// platform is a stand-in for the platform's API. It takes every call.
type platform struct {
	rec *record
	ln  net.Listener
}

func startPlatform(rec *record, ip string) (*platform, error) {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &platform{rec: rec, ln: ln}
	go http.Serve(ln, p)
	return p, nil
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	v, _ := decodeCBOR(body)
	m, _ := v.(map[string]any)
	p.rec.logf("platform: %s by %s with fence %s: %v", r.URL.Path, r.Header.Get("X-Duty-Holder"), r.Header.Get("X-Fence-Token"), m)
	w.WriteHeader(http.StatusOK)
}
