package grant

import (
	"crypto/sha256"

	"mangoledge.example/mangoledge/internal/ident"
)

// fingerprintLength is the length of a Fingerprint in bytes.
const fingerprintLength = 16

// Fingerprint identifies a request ID after its entry has expired. A collision
// does no more than have the second request refused as "may have run".
type Fingerprint [fingerprintLength]byte

func fingerprintOf(id ident.RequestID) Fingerprint {
	sum := sha256.Sum256([]byte(id.String()))
	return Fingerprint(sum[:fingerprintLength])
}
