package owner

import (
	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

// Owners finds the owners of upstreams among one list of members. It sorts the
// members by place once, so that an upstream is compared with the members of its
// failure domain only.
type Owners struct {
	domains map[ident.FailureDomain][]candidate
	regions map[ident.Region][]candidate
	all     []candidate
}

// candidate is a usable member with the hash of its name.
type candidate struct {
	member membership.Member
	hash   uint64
}

// NewOwners returns the owners that members make.
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

// Of returns the owner of upstream u: the member with the highest hash in u's
// failure domain, else in its region, else anywhere.
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
		hash := mix(key, candidates[i].hash)
		if i == 0 || hash > top {
			best, top = i, hash
		}
	}
	return candidates[best].member, true
}
