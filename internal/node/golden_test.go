package node

import (
	"testing"

	"notchhinge/internal/control/replica"
	"notchhinge/internal/testutil/golden"
)

// TestGoldenFetch: the call for a configuration has the bytes that earlier versions of the program send and read.
func TestGoldenFetch(t *testing.T) {
	golden.Equal(t, "the call for the newest that the peer has", []byte{7, 0}, replica.EncodeIndexed(7, fetchLocal.encode()))
	golden.Equal(t, "the call for the newest there is", []byte{7, 1, 1}, replica.EncodeIndexed(7, fetchConfirmed.encode()))
}
