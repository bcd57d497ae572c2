package poison

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

// Fingerprint identifies request content: the model, adapter or service that runs and its
// input, regardless of the sender.
type Fingerprint uint64

// String returns the fingerprint as it appears in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// FingerprintOf returns the fingerprint of a request's content.
func FingerprintOf(model ident.Model, adapter ident.Adapter, service ident.Service, input string) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range [...]string{string(model), string(adapter), string(service), input} {
		writeLength(&digest, len(part))
		_, _ = digest.WriteString(part)
	}
	return Fingerprint(digest.Sum64())
}

// ContentFingerprint returns the Fingerprint of a request to a plain service, whose input is head
// followed by the pieces of its body. It is that of FingerprintOf, without joining the input.
func ContentFingerprint(service ident.Service, head string, body [][]byte) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range [...]string{"", "", string(service)} {
		writeLength(&digest, len(part))
		_, _ = digest.WriteString(part)
	}
	size := len(head)
	for _, piece := range body {
		size += len(piece)
	}
	writeLength(&digest, size)
	_, _ = digest.WriteString(head)
	for _, piece := range body {
		_, _ = digest.Write(piece)
	}
	return Fingerprint(digest.Sum64())
}

// writeLength adds a length to the digest.
func writeLength(digest *xxhash.Digest, n int) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(n))
	_, _ = digest.Write(length[:])
}

// Coordinator returns the usable member whose gate is responsible for the fingerprint.
// Members of region are preferred.
func Coordinator(f Fingerprint, region ident.Region, members []membership.Member) (membership.Member, bool) {
	best, found := highestHash(f, members, func(m *membership.Member) bool { return m.Region == region })
	if found {
		return best, true
	}
	return highestHash(f, members, func(*membership.Member) bool { return true })
}

// highestHash returns the member that wins the rendezvous hash for f among the usable
// members that fit.
func highestHash(f Fingerprint, members []membership.Member, fits func(*membership.Member) bool) (membership.Member, bool) {
	best := -1
	var top uint64
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], uint64(f))
	for i := range members {
		m := &members[i]
		if !m.Usable() || !fits(m) {
			continue
		}
		var digest xxhash.Digest
		digest.Reset()
		_, _ = digest.Write(buf[:])
		_, _ = digest.WriteString(string(m.Node))
		if hash := digest.Sum64(); best < 0 || hash > top {
			best, top = i, hash
		}
	}
	if best < 0 {
		return membership.Member{}, false
	}
	return members[best], true
}
