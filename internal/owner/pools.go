package owner

import (
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

// pools are the owners of each pool while a directory is made anew.
type pools struct {
	entries map[PoolKey][]*entry
	index   map[poolOwner]*entry
}

// poolOwner names one owner of one pool.
type poolOwner struct {
	pool  PoolKey
	owner ident.Incarnation
}

func newPools() *pools {
	return &pools{entries: make(map[PoolKey][]*entry), index: make(map[poolOwner]*entry)}
}

// add notes that m owns the upstream with that hash in a pool.
func (p *pools) add(key PoolKey, m membership.Member, upstream uint64) {
	name := poolOwner{pool: key, owner: m.Incarnation}
	e, ok := p.index[name]
	if !ok {
		e = &entry{member: m}
		p.index[name] = e
		p.entries[key] = append(p.entries[key], e)
	}
	e.upstreams = append(e.upstreams, upstream)
}
