package usage

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/lease"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

const testWindow = 5 * time.Second

// reportStore is an object store that comes back from older copies, and may carry out writes that
// it did not answer later.
type reportStore struct {
	now      func() time.Time
	era      uint64
	revision uint64
	away     bool
	reports  map[string]objects.Object
	late     []func()
}

// drill ends an absence: a share of the reports is lost, and revisions are given out again.
func (s *reportStore) drill(random *rand.Rand) {
	s.era++
	s.revision -= min(s.revision, random.Uint64N(20))
	for name := range s.reports {
		if random.IntN(2) == 0 {
			delete(s.reports, name)
		}
	}
}

// carryOutLate carries out the writes that were not answered, if their conditions hold.
func (s *reportStore) carryOutLate() {
	for _, call := range s.late {
		call()
	}
	s.late = nil
}

// write creates an object, or replaces one at the given revision if that is not 0.
func (s *reportStore) write(o objects.Object, revision uint64) (objects.Object, error) {
	known, exists := s.reports[o.Metadata.Name]
	switch {
	case revision == 0 && exists, revision != 0 && exists && known.Metadata.ResourceVersion.Revision() != revision:
		return objects.Object{}, &objects.Error{Kind: objects.KindConflict}
	case revision != 0 && !exists:
		return objects.Object{}, &objects.Error{Kind: objects.KindNotFound}
	}
	s.revision++
	o.Metadata.ResourceVersion = objects.VersionOf(s.era, s.revision)
	s.reports[o.Metadata.Name] = o
	return o, nil
}

// reportClient is what one node knows of the store's era.
type reportClient struct {
	objects.Store
	store *reportStore
	era   uint64
	// since is when the era was learned, if it is not the first one.
	since time.Time
}

func (c *reportClient) observeEra() {
	if c.era != c.store.era {
		c.era = c.store.era
		if c.era > 1 {
			c.since = c.store.now()
		}
	}
}

func (c *reportClient) lostBefore() time.Time { return c.since }

func (c *reportClient) write(o objects.Object) (objects.Object, error) {
	base, era := o.Metadata.ResourceVersion, c.era
	if base != 0 && base.Era() != era {
		return objects.Object{}, &objects.Error{Kind: objects.KindConflict}
	}
	if c.store.away {
		c.store.late = append(c.store.late, func() { _, _ = c.store.write(o, base.Revision()) })
		return objects.Object{}, &objects.Error{Kind: objects.KindUnknown}
	}
	stored, err := c.store.write(o, base.Revision())
	c.observeEra()
	if err == nil && era != 0 && c.era != era {
		err = &objects.Error{Kind: objects.KindUnknown}
	}
	return stored, err
}

func (c *reportClient) Create(_ context.Context, o objects.Object) (objects.Object, error) {
	return c.write(o)
}

func (c *reportClient) Update(_ context.Context, o objects.Object) (objects.Object, error) {
	return c.write(o)
}

func (c *reportClient) Get(_ context.Context, _ objects.Kind, name string) (objects.Object, error) {
	if c.store.away {
		return objects.Object{}, &objects.Error{Kind: objects.KindUnavailable}
	}
	c.observeEra()
	o, exists := c.store.reports[name]
	if !exists {
		return objects.Object{}, &objects.Error{Kind: objects.KindNotFound}
	}
	o.Metadata.ResourceVersion = objects.VersionOf(c.store.era, o.Metadata.ResourceVersion.Revision())
	return o, nil
}

// reportHolder holds the lease while held is true.
type reportHolder struct{ held bool }

func (h *reportHolder) Check() (lease.Fence, error) {
	if !h.held {
		return 0, lease.ErrNotHeld
	}
	return 1, nil
}

// TestWindowIsReportedWithOneCountAfterStoreLostReports guards against a second report of a window
// that a late call of an earlier era, or a node that does not know the era yet, makes anew.
func TestWindowIsReportedWithOneCountAfterStoreLostReports(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 4))
			now := time.Unix(1_000_000, 0)
			store := &reportStore{now: func() time.Time { return now }, era: 1, reports: make(map[string]objects.Object)}
			sent := make(map[int64]string)
			newReporter := func() *Reporter {
				client := &reportClient{store: store}
				if !store.away {
					client.observeEra()
				}
				return &Reporter{
					Store: client, Holder: &reportHolder{}, WindowLength: testWindow, Logger: slog.New(slog.DiscardHandler),
					Now:        store.now,
					Sum:        func(int64) map[string]int64 { return map[string]int64{"w": random.Int64N(1_000_000)} },
					LostBefore: client.lostBefore,
					Send: func(_ context.Context, _ lease.Fence, window int64, counts map[string]int64) error {
						if before, known := sent[window]; known {
							require.Equal(t, before, fmt.Sprint(counts), "window %d", window)
						}
						sent[window] = fmt.Sprint(counts)
						return nil
					},
				}
			}
			reporters := []*Reporter{newReporter(), newReporter(), newReporter()}
			awayUntil := time.Time{}
			for range 400 {
				now = now.Add(time.Duration(random.IntN(1000)) * time.Millisecond)
				switch {
				case store.away && now.After(awayUntil):
					store.away = false
					store.drill(random)
				case !store.away && random.IntN(25) == 0:
					store.away, awayUntil = true, now.Add(time.Duration(random.IntN(3000))*time.Millisecond)
				case !store.away && random.IntN(2) == 0:
					store.carryOutLate()
				}
				if random.IntN(10) == 0 {
					reporters[random.IntN(len(reporters))] = newReporter()
				}
				leader := random.IntN(len(reporters))
				for i, r := range reporters {
					r.Holder = &reportHolder{held: i == leader}
					_ = r.ReportDue(t.Context()) // fails while the store is away or in a later era than known
				}
			}
			require.Greater(t, len(sent), 10)
		})
	}
}
