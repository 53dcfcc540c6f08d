package node

import (
	"testing"

	"notchhinge/internal/control/replica"
	"notchhinge/internal/testutil/golden"
)

// TestGoldenFetch: the encoding of a fetch call is compatible with earlier versions of the program.
func TestGoldenFetch(t *testing.T) {
	golden.Equal(t, "fetch of the peer's newest configuration", []byte{7, 0}, replica.EncodeIndexed(7, fetchLocal.encode()))
	golden.Equal(t, "fetch of the newest confirmed configuration", []byte{7, 1, 1}, replica.EncodeIndexed(7, fetchConfirmed.encode()))
}
