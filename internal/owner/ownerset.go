package owner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

// maxFallbackOwners is the number of owners of a pool outside the primary region
// that a node asks.
const maxFallbackOwners = 8

// ownerSet is the set of owners of one pool that this node asks. It is limited, so
// that a node of a large deployment keeps connections to a part of the nodes only.
type ownerSet struct {
	// primary are the owners in the primary region: the node's own region, or
	// another one if the node's own has no owner of this pool. All nodes of a
	// region have the same primary owners and so send equal prefixes to the same
	// owner.
	primary []*entry
	// fallback are a few owners of other regions, asked when the primary ones are
	// full.
	fallback []*entry
}

// entries returns all owners, the primary ones first.
func (s *ownerSet) entries() []*entry {
	return slices.Concat(s.primary, s.fallback)
}

// find returns the entry of owner, or nil.
func (s *ownerSet) find(owner ident.Incarnation) *entry {
	for _, entries := range [][]*entry{s.primary, s.fallback} {
		for _, e := range entries {
			if e.member.Incarnation == owner {
				return e
			}
		}
	}
	return nil
}

// build returns the owner sets of all pools for node self.
func (p *directoryBuilder) build(self membership.Member) map[PoolKey]*ownerSet {
	out := make(map[PoolKey]*ownerSet, len(p.entries))
	for key, entries := range p.entries {
		out[key] = newOwnerSet(self, entries)
	}
	return out
}

// newOwnerSet selects the owners that node self asks. entries are all owners of one
// pool, at least one.
func newOwnerSet(self membership.Member, entries []*entry) *ownerSet {
	region := primaryRegion(self.Region, entries)
	out := new(ownerSet)
	for _, e := range entries {
		if e.member.Region == region {
			out.primary = append(out.primary, e)
		} else {
			out.fallback = append(out.fallback, e)
		}
	}
	sortByHash(self.Node, out.fallback)
	out.fallback = slices.Clip(out.fallback[:min(len(out.fallback), maxFallbackOwners)])
	return out
}

// primaryRegion returns own if an owner is in it, and otherwise the region of an
// owner that ranks highest for own by rendezvous hash.
func primaryRegion(own ident.Region, entries []*entry) ident.Region {
	key := xxhash.Sum64String(string(own))
	var best ident.Region
	var top uint64
	for i, e := range entries {
		region := e.member.Region
		if region == own {
			return own
		}
		hash := mixHashes(key, xxhash.Sum64String(string(region)))
		if i == 0 || hash > top {
			best, top = region, hash
		}
	}
	return best
}

// sortByHash sorts entries by rendezvous hash with node, highest first. The order
// of members is the same for all pools, so that the first few owners are mostly the
// same members and node needs few connections.
func sortByHash(node ident.Node, entries []*entry) {
	key := xxhash.Sum64String(string(node))
	rank := func(e *entry) uint64 {
		return mixHashes(key, xxhash.Sum64String(string(e.member.Node)))
	}
	slices.SortFunc(entries, func(a, b *entry) int {
		return cmp.Compare(rank(b), rank(a))
	})
}
