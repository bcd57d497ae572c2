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

// witnessesPerHome bounds the distinct witnesses in the prefixes of one home node.
const witnessesPerHome = 3

// maxAddresses bounds the addresses in one response.
const maxAddresses = 16

// unavailableRetryAfter is the retry delay while this node is stale or no node accepts work.
const unavailableRetryAfter = time.Second

// AddressBook selects the node addresses and request-ID prefixes that callers use.
type AddressBook struct {
	members  membership.View
	cacheTTL time.Duration
	// stale reports whether this node may have missed a configuration, and the reason.
	stale func() (string, bool)
}

// NewAddressBook returns an address book whose responses callers may cache for cacheTTL.
func NewAddressBook(members membership.View, cacheTTL time.Duration, stale func() (string, bool)) *AddressBook {
	return &AddressBook{members: members, cacheTTL: cacheTTL, stale: stale}
}

// Addresses returns usable nodes in random order, each with a request-ID prefix whose
// home is that node. Callers can use nodes of any protocol version; the witness of a
// home has the same protocol version as the home.
func (b *AddressBook) Addresses() (*callerapi.AddressBook, error) {
	if reason, stale := b.stale(); stale {
		return nil, verdict.New(verdict.NotRun, verdict.CodeStale, "this node may be out of date and hands out no addresses: %s", reason).WithRetryAfter(unavailableRetryAfter)
	}
	usable := b.usable()
	if len(usable) == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.CodeStopping, "no node takes new work now").WithRetryAfter(unavailableRetryAfter)
	}
	out := &callerapi.AddressBook{KeepMs: b.cacheTTL.Milliseconds()}
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

// Prefix generates a request-ID prefix.
func (b *AddressBook) Prefix() string {
	home, witness := b.pickHomeAndWitness()
	return ident.StampedPrefix(home, witness, time.Now())
}

// OwnID generates a request ID whose home is this node.
func (b *AddressBook) OwnID() ident.RequestID {
	self := b.members.Self()
	return ident.NewRequestID(self.Incarnation, b.witnessFor(self, b.usable()))
}

// pickHomeAndWitness picks a random usable node as home and a witness for it; both are this node if
// none is usable.
func (b *AddressBook) pickHomeAndWitness() (home, witness ident.Incarnation) {
	usable := b.usable()
	if len(usable) == 0 {
		self := b.members.Self().Incarnation
		return self, self
	}
	return usable[0].Incarnation, b.witnessFor(usable[0], usable)
}

// usable returns the members of this region that accept new work, in random order, or
// those of all regions when this one has none. It leaves out members that are alone
// with their protocol version, because no other node can be their witness.
func (b *AddressBook) usable() []membership.Member {
	region := b.members.Self().Region
	var local, remote []membership.Member
	for _, member := range b.members.Members() {
		switch {
		case !member.State.Usable():
		case member.Region == region:
			local = append(local, member)
		default:
			remote = append(remote, member)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	local = withSharedProtocol(local)
	rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	return local
}

// withSharedProtocol returns the members that share their protocol version with another one,
// or all members if no two share a version.
func withSharedProtocol(members []membership.Member) []membership.Member {
	counts := make(map[membership.Protocol]int)
	for _, member := range members {
		counts[member.Protocol]++
	}
	var shared []membership.Member
	for _, member := range members {
		if counts[member.Protocol] > 1 {
			shared = append(shared, member)
		}
	}
	if len(shared) == 0 {
		return members
	}
	return shared
}

// witnessFor picks a witness for home with the same protocol version: preferably in
// another failure domain, else on another node, else home itself. Each home uses only
// witnessesPerHome witnesses, so that its progress reports go out in few batches.
func (b *AddressBook) witnessFor(home membership.Member, usable []membership.Member) ident.Incarnation {
	var others, otherDomain []membership.Member
	for _, member := range usable {
		if member.Incarnation == home.Incarnation || member.Protocol != home.Protocol {
			continue
		}
		others = append(others, member)
		if member.FailureDomain != home.FailureDomain {
			otherDomain = append(otherDomain, member)
		}
	}
	if len(otherDomain) > 0 {
		others = otherDomain
	}
	if len(others) == 0 {
		return home.Incarnation
	}
	slices.SortFunc(others, func(a, c membership.Member) int {
		return cmp.Compare(witnessOrderHash(home.Incarnation, a.Incarnation), witnessOrderHash(home.Incarnation, c.Incarnation))
	})
	return others[rand.IntN(min(len(others), witnessesPerHome))].Incarnation
}

// witnessOrderHash gives each home its own order of witnesses.
func witnessOrderHash(home, witness ident.Incarnation) uint64 {
	return xxhash.Sum64String(string(home) + string(witness))
}
