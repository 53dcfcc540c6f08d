package api

import (
	"net"
	"net/http"

	"github.com/fxamacker/cbor/v2"
)

// heartbeat handles an engine's heartbeat.
func (s *server) heartbeat(w http.ResponseWriter, r *http.Request) error {
	b, err := readBody(w, r, maxCallBytes)
	if err != nil {
		return err
	}
	h := &Heartbeat{}
	if err := cbor.Unmarshal(b, h); err != nil {
		return errorf(StatusInvalid, "body: %v", err)
	}
	if h.ID, err = pathName(r, "id", "instance_id"); err != nil {
		return err
	}
	if err := h.validate(); err != nil {
		return err
	}
	nextAddr, err := s.h.Heartbeat(r.Context(), h)
	if err != nil {
		return err
	}
	response := map[string]string{}
	if nextAddr != "" {
		response["heartbeat_url"] = nextAddr
	}
	writeCBOR(w, StatusOK, response)
	return nil
}

// validate checks the fields of a heartbeat.
func (h *Heartbeat) validate() error {
	for _, field := range []struct{ key, value string }{
		{"target_service", h.TargetService}, {"zone", h.Zone}, {"revision", h.Revision}, {"address", h.Address},
	} {
		if len(field.value) > maxNameBytes {
			return errorf(StatusInvalid, "%s: must be at most %d bytes", field.key, maxNameBytes)
		}
	}
	if h.TargetService == "" {
		return errorf(StatusInvalid, "target_service: must not be empty")
	}
	if h.Status != EngineReady && h.Status != EngineDraining {
		return errorf(StatusInvalid, "status: must be %s or %s", EngineReady, EngineDraining)
	}
	if _, _, err := net.SplitHostPort(h.Address); err != nil {
		return errorf(StatusInvalid, "address: must be an address with a port")
	}
	return nil
}

// deregister handles the deregistration of an engine. The body is ignored.
func (s *server) deregister(w http.ResponseWriter, r *http.Request) error {
	if _, err := readBody(w, r, maxCallBytes); err != nil {
		return err
	}
	id, err := pathName(r, "id", "instance_id")
	if err != nil {
		return err
	}
	if err := s.h.Deregister(r.Context(), id); err != nil {
		return err
	}
	writeCBOR(w, StatusOK, map[string]string{})
	return nil
}
