package owner

import (
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/membership"
)

// Of returns the owner of upstream u among members, like Owners.Of.
func Of(u *fleet.Upstream, members []membership.Member) (membership.Member, bool) {
	return NewOwners(members).Of(u)
}

// mixHashes combines two hashes into one whose bits depend on all bits of both.
func mixHashes(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}
