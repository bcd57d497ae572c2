package entry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/verdict"
)

// witnessesPerHome is how many witnesses the prefixes of one home name.
const witnessesPerHome = 3

// maxAddresses is the most addresses that one answer names.
const maxAddresses = 16

// staleRetryAfter is when to ask a stale node again.
const staleRetryAfter = time.Second

// AddressBook makes the answers to "which addresses may I use".
type AddressBook struct {
	members membership.View
	keep    time.Duration
	// stale tells whether this node may have missed a configuration, and why.
	stale func() (string, bool)
}

// NewAddressBook returns a book whose answers may be kept for keep.
func NewAddressBook(members membership.View, keep time.Duration, stale func() (string, bool)) *AddressBook {
	return &AddressBook{members: members, keep: keep, stale: stale}
}

// Addresses names usable nodes in random order, each with a prefix whose home it is.
// Callers reach nodes of every protocol alike; the witness of a home speaks the home's.
func (b *AddressBook) Addresses() (*callerapi.AddressBook, error) {
	if reason, stale := b.stale(); stale {
		return nil, verdict.New(verdict.NotRun, verdict.CodeStale, "this node may be out of date and hands out no addresses: %s", reason).WithRetryAfter(staleRetryAfter)
	}
	usable := b.usable()
	if len(usable) == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.CodeStopping, "no node takes new work now").WithRetryAfter(staleRetryAfter)
	}
	out := &callerapi.AddressBook{KeepMs: b.keep.Milliseconds()}
	now := time.Now()
	for _, member := range usable[:min(maxAddresses, len(usable))] {
		out.Addresses = append(out.Addresses, callerapi.Address{
			URL:             member.CallerURL,
			Node:            string(member.Node),
			FailureDomain:   string(member.FailureDomain),
			RequestIdPrefix: ident.StampedPrefix(member.Incarnation, b.witnessFor(member, usable), now),
		})
	}
	out.RequestIdPrefix = out.Addresses[0].RequestIdPrefix
	return out, nil
}

// Prefix makes a fresh request-ID prefix.
func (b *AddressBook) Prefix() string {
	home, witness := b.pair()
	return ident.StampedPrefix(home, witness, time.Now())
}

// OwnID makes a request ID whose home is this node.
func (b *AddressBook) OwnID() ident.RequestID {
	self := b.members.Self()
	return ident.NewRequestID(self.Incarnation, b.witnessFor(self, b.usable()))
}

func (b *AddressBook) pair() (home, witness ident.Incarnation) {
	usable := b.usable()
	if len(usable) == 0 {
		self := b.members.Self().Incarnation
		return self, self
	}
	return usable[0].Incarnation, b.witnessFor(usable[0], usable)
}

// usable returns the members of this region that take new work, in random
// order; those of all regions when this one has none. Of several protocols it
// returns no member that is the only one of its own, and so has no witness.
func (b *AddressBook) usable() []membership.Member {
	region := b.members.Self().Region
	var near, far []membership.Member
	for _, member := range b.members.Members() {
		switch {
		case !member.State.Usable():
		case member.Region == region:
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	if len(near) == 0 {
		near = far
	}
	near = withPartners(near)
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	return near
}

// withPartners returns members without those that are the only ones of their
// protocol; all of them when no two speak the same.
func withPartners(members []membership.Member) []membership.Member {
	speakers := make(map[membership.Protocol]int)
	for _, member := range members {
		speakers[member.Protocol]++
	}
	var paired []membership.Member
	for _, member := range members {
		if speakers[member.Protocol] > 1 {
			paired = append(paired, member)
		}
	}
	if len(paired) == 0 {
		return members
	}
	return paired
}

// witnessFor chooses a witness of home's protocol for home: in another failure domain if there is
// one, on another node if there is one, home itself otherwise. A home has only a
// few witnesses, so that its reports of progress go out in few batches.
func (b *AddressBook) witnessFor(home membership.Member, usable []membership.Member) ident.Incarnation {
	var others, apart []membership.Member
	for _, member := range usable {
		if member.Incarnation == home.Incarnation || member.Protocol != home.Protocol {
			continue
		}
		others = append(others, member)
		if member.FailureDomain != home.FailureDomain {
			apart = append(apart, member)
		}
	}
	if len(apart) > 0 {
		others = apart
	}
	if len(others) == 0 {
		return home.Incarnation
	}
	slices.SortFunc(others, func(a, c membership.Member) int {
		return cmp.Compare(pairHash(home.Incarnation, a.Incarnation), pairHash(home.Incarnation, c.Incarnation))
	})
	return others[rand.IntN(min(len(others), witnessesPerHome))].Incarnation
}

// pairHash orders witnesses differently for each home.
func pairHash(home, witness ident.Incarnation) uint64 {
	return xxhash.Sum64String(string(home) + string(witness))
}
