package lease

import (
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/platform/objects"
)

// fencesPerEra is the number of fencing numbers set aside for each era of the store: a holder
// changes every few seconds at most.
const fencesPerEra = 1 << 20

// errEraChanged means that the store came back from an older copy while a lease was acquired.
var errEraChanged = errors.New("the store came back from an older copy")

// minFence returns the number that all fencing numbers of an era are above. Numbers issued in earlier
// eras may be missing in the store.
func minFence(era uint64) Fence {
	if era <= 1 {
		return 0
	}
	return Fence(era-1) * fencesPerEra
}

// LoseEra gives up the lease because the store came back from an older copy, which may name another
// holder.
func (l *Lease) LoseEra() {
	l.mu.Lock()
	held := l.held
	l.mu.Unlock()
	if held {
		l.setLost(0, Record{})
	}
}

// eraWait returns how long a new holder waits if the lease it found may be missing later holders,
// as the store once came back from an older copy: until the lease of such a holder has expired and its
// orders are no longer in progress.
func (l *Lease) eraWait(version objects.Version) time.Duration {
	if version.Era() <= 1 {
		return 0
	}
	return l.options.TTL + l.clockMargin() + l.options.OrderTimeout
}

// checkStoredEra returns an error if a lease was stored in another era than the one in which its
// fencing number was issued.
func (l *Lease) checkStoredEra(stored objects.Version, fence Fence) error {
	if fence <= minFence(stored.Era()) || fence > minFence(max(stored.Era(), 1)+1) {
		return errors.Wrapf(errEraChanged, "lease %s, fencing number %d, era %d", l.options.Name, fence, stored.Era())
	}
	return nil
}
