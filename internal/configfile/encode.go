package configfile

import (
	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/fleetconfig"
)

// Encode returns a configuration in canonical CBOR, as the API of the fleet accepts it. Equal configurations have equal bytes, so
// that a submission can be repeated.
func Encode(c *fleetconfig.Config) ([]byte, error) {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(c)
}
