package owner

import (
	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

// Of returns the owner of upstream u among members: the usable member with the
// highest hash in u's failure domain, else in its region, else anywhere.
func Of(u *fleet.Upstream, members []membership.Member) (membership.Member, bool) {
	best, found := highest(u.ID, members, func(m *membership.Member) bool {
		return m.FailureDomain == u.FailureDomain
	})
	if found {
		return best, true
	}
	best, found = highest(u.ID, members, func(m *membership.Member) bool {
		return m.Region == u.Region
	})
	if found {
		return best, true
	}
	return highest(u.ID, members, func(*membership.Member) bool { return true })
}

// highest returns the usable member with the highest hash among those that fit.
func highest(id ident.Upstream, members []membership.Member, fits func(*membership.Member) bool) (membership.Member, bool) {
	best := -1
	var top uint64
	key := xxhash.Sum64String(string(id))
	for i := range members {
		m := &members[i]
		if !m.State.Usable() || !fits(m) {
			continue
		}
		hash := mix(key, xxhash.Sum64String(string(m.Node)))
		if best < 0 || hash > top {
			best, top = i, hash
		}
	}
	if best < 0 {
		return membership.Member{}, false
	}
	return members[best], true
}

// mix joins two hashes into one whose bits depend on all bits of both.
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}
