package grant

import (
	"crypto/sha256"

	"mangoledge.example/mangoledge/internal/ident"
)

// fingerprintBytes is the length of a Fingerprint in bytes.
const fingerprintBytes = 16

// Fingerprint stands for a request ID after its entry has expired. Two IDs with
// one fingerprint would only make the second one refused as "may have run".
type Fingerprint [fingerprintBytes]byte

func fingerprint(id ident.RequestID) Fingerprint {
	sum := sha256.Sum256([]byte(id.String()))
	return Fingerprint(sum[:fingerprintBytes])
}
