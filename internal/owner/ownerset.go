package owner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

// maxElsewhere is how many owners of a pool outside the near region a node asks.
const maxElsewhere = 8

// ownerSet is the owners of one pool that one node asks. They are few, so
// that a node keeps connections to a part of a large site only.
type ownerSet struct {
	// near are the owners of one region: the node's own, or the one that its
	// region goes to for this pool. All nodes of a region have the same, so that
	// they agree on where a prefix belongs.
	near []*entry
	// elsewhere are a few owners of other regions for when near ones are full.
	elsewhere []*entry
}

// entries returns all owners, the near ones first.
func (s *ownerSet) entries() []*entry {
	return slices.Concat(s.near, s.elsewhere)
}

// find returns the entry of owner, or nil.
func (s *ownerSet) find(owner ident.Incarnation) *entry {
	for _, entries := range [][]*entry{s.near, s.elsewhere} {
		for _, e := range entries {
			if e.member.Incarnation == owner {
				return e
			}
		}
	}
	return nil
}

// divide sorts the owners of each pool by what node self does with them.
func (p *pools) divide(self membership.Member) map[PoolKey]*ownerSet {
	out := make(map[PoolKey]*ownerSet, len(p.entries))
	for key, entries := range p.entries {
		out[key] = newOwnerSet(self, entries)
	}
	return out
}

// newOwnerSet chooses among the owners of a pool, of which there is at least one.
func newOwnerSet(self membership.Member, entries []*entry) *ownerSet {
	region := nearRegion(self.Region, entries)
	out := new(ownerSet)
	for _, e := range entries {
		if e.member.Region == region {
			out.near = append(out.near, e)
		} else {
			out.elsewhere = append(out.elsewhere, e)
		}
	}
	sortByHash(self.Node, out.elsewhere)
	out.elsewhere = slices.Clip(out.elsewhere[:min(len(out.elsewhere), maxElsewhere)])
	return out
}

// nearRegion returns own when it has an owner, and otherwise the region that own
// goes to, by rendezvous hash.
func nearRegion(own ident.Region, entries []*entry) ident.Region {
	key := xxhash.Sum64String(string(own))
	var best ident.Region
	var top uint64
	for i, e := range entries {
		region := e.member.Region
		if region == own {
			return own
		}
		hash := mix(key, xxhash.Sum64String(string(region)))
		if i == 0 || hash > top {
			best, top = region, hash
		}
	}
	return best
}

// sortByHash puts entries into the order of node's rendezvous hash, which is the
// same for all pools, so that their first few are mostly the same members.
func sortByHash(node ident.Node, entries []*entry) {
	key := xxhash.Sum64String(string(node))
	rank := func(e *entry) uint64 {
		return mix(key, xxhash.Sum64String(string(e.member.Node)))
	}
	slices.SortFunc(entries, func(a, b *entry) int {
		return cmp.Compare(rank(b), rank(a))
	})
}
