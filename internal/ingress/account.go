package ingress

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// bodyMemoryPercent is the part of a process's memory limit that bodies may take, in percent.
	bodyMemoryPercent = 25
	// defaultCapacity is the capacity, in bytes, for a process without a memory limit.
	defaultCapacity = 256 << 20
	// smallBodyBytes is the size up to which a body may use the whole capacity. Larger ones leave
	// 1/smallBodyDivisor of it free.
	smallBodyBytes   = 64 << 10
	smallBodyDivisor = 8
	// ownerSharePercent is the part of the capacity that the large bodies of one client address, or
	// of one workspace, may take, in percent.
	ownerSharePercent = 75
	// evictionAge is how old a body must be to be evicted in favor of another.
	evictionAge = 2 * time.Second
)

var (
	// ErrFull means that there is no memory for the next piece of a body.
	ErrFull = errors.New("no memory for the request body")
	// ErrEvicted means that the body gave way to another one.
	ErrEvicted = errors.New("the request body gave way to another")
)

// Capacity returns the bytes of bodies that a process may hold, from its memory limit in MB; 0 means
// no limit.
func Capacity(memoryMB int) int64 {
	if memoryMB <= 0 {
		return defaultCapacity
	}
	return int64(memoryMB) << 20 * bodyMemoryPercent / 100
}

// Owner is whom a body's memory is charged to. Workspace is empty for a request without a key.
type Owner struct {
	Address   string
	Workspace string
}

// Account is the memory that the request bodies of a process hold. It is safe for concurrent use.
type Account struct {
	capacity int64
	now      func() time.Time

	mu          sync.Mutex
	held, peak  int64
	byAddress   map[string]int64
	byWorkspace map[string]int64
	// receiving are the bodies that have not arrived whole.
	receiving map[*Body]struct{}
	// full and evicted count the bodies that ended with ErrFull and ErrEvicted.
	full, evicted int64
}

// NewAccount returns an Account that holds at most capacity bytes.
func NewAccount(capacity int64, now func() time.Time) *Account {
	return &Account{
		capacity: capacity, now: now,
		byAddress: make(map[string]int64), byWorkspace: make(map[string]int64),
		receiving: make(map[*Body]struct{}),
	}
}

// Usage is what an Account holds, and has refused so far.
type Usage struct {
	// Held and Peak are in bytes, Receiving is the number of bodies that have not arrived whole.
	Held, Peak int64
	Receiving  int
	// Full and Evicted count the bodies that ended with ErrFull and ErrEvicted.
	Full, Evicted int64
}

// Usage returns the current usage.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{Held: a.held, Peak: a.peak, Receiving: len(a.receiving), Full: a.full, Evicted: a.evicted}
}

// reserve charges n bytes to the body. If they don't fit, bodies that arrive slowly give way; if there
// are none, it returns ErrFull.
func (a *Account) reserve(b *Body, n int64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b.evicted {
		return ErrEvicted
	}
	for {
		within, fits := a.fits(b, n)
		if fits {
			break
		}
		victim := a.chooseVictim(b, within)
		if victim == nil {
			a.full++
			return ErrFull
		}
		a.evict(victim)
	}
	a.charge(b, n)
	return nil
}

// scope selects the bodies whose eviction makes room.
type scope func(*Body) bool

// fits reports whether n more bytes of the body fit. If not, it returns which bodies take the room.
func (a *Account) fits(b *Body, n int64) (scope, bool) {
	if b.charged+n <= smallBodyBytes {
		return func(*Body) bool { return true }, a.held+n <= a.capacity
	}
	share := a.capacity * ownerSharePercent / 100
	switch {
	case a.held+n > a.capacity-a.capacity/smallBodyDivisor:
		return func(*Body) bool { return true }, false
	case a.byAddress[b.owner.Address]+n > share:
		return func(other *Body) bool { return other.owner.Address == b.owner.Address }, false
	case a.byWorkspace[b.owner.Workspace]+n > share:
		return func(other *Body) bool { return other.owner.Workspace == b.owner.Workspace }, false
	}
	return nil, true
}

// chooseVictim returns the body within the scope that gives way to b, or nil: of the owners that hold
// the most, the slowest, and of equally slow ones the largest. An owner that holds less than b's keeps
// its bodies.
func (a *Account) chooseVictim(b *Body, within scope) *Body {
	now := a.now()
	var victim *Body
	for other := range a.receiving {
		if other == b || other.charged == 0 || !within(other) || now.Sub(other.startedAt) < evictionAge ||
			a.weight(other) < a.weight(b) {
			continue
		}
		if victim == nil || a.givesWayBefore(other, victim, now) {
			victim = other
		}
	}
	return victim
}

// givesWayBefore reports whether b gives way before other.
func (a *Account) givesWayBefore(b, other *Body, now time.Time) bool {
	if x, y := a.weight(b), a.weight(other); x != y {
		return x > y
	}
	if x, y := b.pace(now), other.pace(now); x != y {
		return x < y
	}
	return b.charged > other.charged
}

// weight returns the bytes that the body's owner holds: its address or its workspace, whichever holds
// more.
func (a *Account) weight(b *Body) int64 {
	return max(a.byAddress[b.owner.Address], a.byWorkspace[b.owner.Workspace])
}

// evict takes a body's pieces and interrupts its reader.
func (a *Account) evict(b *Body) {
	a.evicted++
	b.evicted = true
	a.releaseLocked(b)
	b.interrupt()
}

// charge adds n bytes, which may be negative, to the body and its owner.
func (a *Account) charge(b *Body, n int64) {
	b.charged += n
	a.held += n
	a.peak = max(a.peak, a.held)
	add(a.byAddress, b.owner.Address, n)
	add(a.byWorkspace, b.owner.Workspace, n)
}

// add adds n to the value of a key, and removes a key whose value is 0.
func add(m map[string]int64, key string, n int64) {
	m[key] += n
	if m[key] == 0 {
		delete(m, key)
	}
}

// releaseLocked returns what the body holds. It may be called more than once.
func (a *Account) releaseLocked(b *Body) {
	delete(a.receiving, b)
	a.charge(b, -b.charged)
	b.pieces = nil
}
