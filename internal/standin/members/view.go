// Package members provides a membership view that never changes, for tests and measurements.
package members

import (
	"slices"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

// View is a membership.View of a fixed list of members.
type View struct {
	own membership.Member
	all []membership.Member
}

var _ membership.View = (*View)(nil)

// NewView returns the view that the member all[self] has of all, which must not be
// changed afterwards.
func NewView(all []membership.Member, self int) *View {
	return &View{own: all[self], all: all}
}

// Self implements membership.View.
func (v *View) Self() membership.Member { return v.own }

// Members implements membership.View.
func (v *View) Members() []membership.Member { return v.all }

// Lookup implements membership.View.
func (v *View) Lookup(incarnation ident.Incarnation) (membership.Member, bool) {
	i := slices.IndexFunc(v.all, func(m membership.Member) bool { return m.Incarnation == incarnation })
	if i < 0 {
		return membership.Member{}, false
	}
	return v.all[i], true
}
