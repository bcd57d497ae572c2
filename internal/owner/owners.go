package owner

import (
	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

// Owners finds the owners of upstreams in a fixed list of members. Members are
// indexed by failure domain and region, so that an upstream is compared only with
// the members of its failure domain.
type Owners struct {
	domains map[ident.FailureDomain][]candidate
	regions map[ident.Region][]candidate
	all     []candidate
}

// candidate is a usable member with the hash of its node name.
type candidate struct {
	member membership.Member
	hash   uint64
}

// NewOwners indexes the usable ones of members.
func NewOwners(members []membership.Member) *Owners {
	out := &Owners{
		domains: make(map[ident.FailureDomain][]candidate),
		regions: make(map[ident.Region][]candidate),
	}
	for _, m := range members {
		if !m.Usable() {
			continue
		}
		c := candidate{member: m, hash: xxhash.Sum64String(string(m.Node))}
		out.domains[m.FailureDomain] = append(out.domains[m.FailureDomain], c)
		out.regions[m.Region] = append(out.regions[m.Region], c)
		out.all = append(out.all, c)
	}
	return out
}

// Of returns the owner of upstream u: the member with the highest rendezvous hash
// in u's failure domain; without a usable member there, in its region; otherwise
// among all members. It returns false when no member is usable.
func (o *Owners) Of(u *fleet.Upstream) (membership.Member, bool) {
	candidates := o.domains[u.FailureDomain]
	if len(candidates) == 0 {
		candidates = o.regions[u.Region]
	}
	if len(candidates) == 0 {
		candidates = o.all
	}
	if len(candidates) == 0 {
		return membership.Member{}, false
	}
	best := 0
	var top uint64
	key := xxhash.Sum64String(string(u.ID))
	for i := range candidates {
		hash := mixHashes(key, candidates[i].hash)
		if i == 0 || hash > top {
			best, top = i, hash
		}
	}
	return candidates[best].member, true
}
