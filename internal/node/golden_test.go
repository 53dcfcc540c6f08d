package node

import (
	"testing"

	"notchhinge/internal/control/replica"
	"notchhinge/internal/testutil/golden"
)

// TestGoldenFetch: who wants the newest configuration that a majority knows of asks with the bytes that it did.
func TestGoldenFetch(t *testing.T) {
	golden.Equal(t, "the call for what is held", []byte{7, 0}, replica.EncodeIndexed(7, fetchHeld.encode()))
	golden.Equal(t, "the call", []byte{7, 1, 1}, replica.EncodeIndexed(7, fetchConfirmed.encode()))
}
