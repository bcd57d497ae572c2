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

// reportStore is an object store that may lose its newest reports.
type reportStore struct {
	objects.Store
	reports map[string]objects.Object
}

func (s *reportStore) Create(_ context.Context, o objects.Object) (objects.Object, error) {
	if _, exists := s.reports[o.Metadata.Name]; exists {
		return objects.Object{}, &objects.Error{Kind: objects.KindConflict}
	}
	s.reports[o.Metadata.Name] = o
	return o, nil
}

func (s *reportStore) Get(_ context.Context, _ objects.Kind, name string) (objects.Object, error) {
	o, exists := s.reports[name]
	if !exists {
		return objects.Object{}, &objects.Error{Kind: objects.KindNotFound}
	}
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

func TestWindowIsReportedWithOneCountAfterStoreLostReports(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 4))
			store := &reportStore{reports: make(map[string]objects.Object)}
			now, lost := time.Unix(1_000_000, 0), time.Time{}
			sent := make(map[int64]string)
			var reporters []*Reporter
			for range 3 {
				reporters = append(reporters, &Reporter{
					Store: store, Holder: &reportHolder{}, WindowLength: testWindow, Logger: slog.New(slog.DiscardHandler),
					Now:        func() time.Time { return now },
					Sum:        func(int64) map[string]int64 { return map[string]int64{"w": random.Int64N(1000)} },
					LostBefore: func() time.Time { return lost },
					Send: func(_ context.Context, _ lease.Fence, window int64, counts map[string]int64) error {
						if before, known := sent[window]; known {
							require.Equal(t, before, fmt.Sprint(counts), "window %d", window)
						}
						sent[window] = fmt.Sprint(counts)
						return nil
					},
				})
			}
			for range 200 {
				now = now.Add(time.Duration(random.IntN(1500)) * time.Millisecond)
				if random.IntN(25) == 0 {
					for name := range store.reports {
						if random.IntN(2) == 0 {
							delete(store.reports, name)
						}
					}
					lost = now
				}
				leader := random.IntN(len(reporters))
				for i, r := range reporters {
					r.Holder = &reportHolder{held: i == leader}
					require.NoError(t, r.ReportDue(t.Context()))
				}
			}
			require.Greater(t, len(sent), 10)
		})
	}
}
