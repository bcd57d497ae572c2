package owner

import (
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

// directoryBuilder collects the owners of each pool while a directory is rebuilt.
type directoryBuilder struct {
	entries map[PoolKey][]*entry
	index   map[poolOwner]*entry
}

// poolOwner identifies one owner of one pool.
type poolOwner struct {
	pool  PoolKey
	owner ident.Incarnation
}

func newDirectoryBuilder() *directoryBuilder {
	return &directoryBuilder{entries: make(map[PoolKey][]*entry), index: make(map[poolOwner]*entry)}
}

// add records that m owns an upstream of a pool; upstream is the hash of its ID.
func (p *directoryBuilder) add(key PoolKey, m membership.Member, upstream uint64) {
	name := poolOwner{pool: key, owner: m.Incarnation}
	e, ok := p.index[name]
	if !ok {
		e = &entry{member: m}
		p.index[name] = e
		p.entries[key] = append(p.entries[key], e)
	}
	e.upstreams = append(e.upstreams, upstream)
}
