package balance

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/site"
)

func byID(c []site.Upstream) map[string]site.Upstream {
	out := make(map[string]site.Upstream)
	for _, u := range c {
		out[u.ID] = u
	}
	return out
}

func TestALeavingUpstreamGetsNoRequestsUntilItIsRestarted(t *testing.T) {
	b, c := newTestBalancer(), upstreams(2)
	require.True(t, b.MarkLeaving(c[0]))
	require.False(t, b.MarkLeaving(c[0]), "the second announcement is not new")
	b.PruneAnnouncements(nil) // its entry expires
	b.PruneStates(nil)
	b.time = b.time.Add(announcementRetention / 2)
	require.Empty(t, b.PruneAnnouncements(byID(c)))
	moved := c[0]
	moved.Address = upstreams(5)[4].Address
	for _, u := range []site.Upstream{c[0], moved} {
		for range 20 {
			require.Equal(t, c[1].ID, b.pick(t, prompt("s", 10), []site.Upstream{u, c[1]}).Upstream.ID)
		}
	}
	c[0].StartedAt = c[0].StartedAt.Add(time.Second)
	require.Len(t, b.PruneAnnouncements(byID(c)), 1)
	ticket, _ := b.Pick(prompt("s", 10), &PickOptions{Service: testEngine, Candidates: c[:1]})
	require.NotNil(t, ticket)
}

// TestAnEntryWithoutAStartTimeIsNoRestart guards against entries of another writer that make a node
// forget what a replica announced.
func TestAnEntryWithoutAStartTimeIsNoRestart(t *testing.T) {
	b, c := newTestBalancer(), upstreams(2)
	b.MarkLeaving(c[0])
	b.MarkQuiet(c[1], time.Minute)
	odd := upstreams(2)
	odd[0].StartedAt, odd[1].StartedAt = time.Time{}, time.Time{}
	for _, listed := range [][]site.Upstream{odd, c} {
		require.Empty(t, b.PruneAnnouncements(byID(listed)))
		ticket, _ := b.Pick(prompt("s", 10), &PickOptions{Service: testEngine, Candidates: listed})
		require.Nil(t, ticket)
	}
	b.PruneAnnouncements(byID(c))
	c[0].StartedAt = c[0].StartedAt.Add(time.Second)
	require.Len(t, b.PruneAnnouncements(byID(c)), 1, "it was restarted")
}

func TestAQuietUpstreamGetsNoRequestsUntilItsTimeIsOver(t *testing.T) {
	b, c := newTestBalancer(), upstreams(1)
	require.True(t, b.MarkQuiet(c[0], 2*time.Second))
	require.False(t, b.MarkQuiet(c[0], time.Second), "a shorter time does not reduce the first one")
	for range 2 {
		ticket, pause := b.Pick(prompt("s", 10), &PickOptions{Service: testEngine, Candidates: c})
		require.Nil(t, ticket)
		require.Equal(t, 2*time.Second-b.time.Sub(time.Unix(1000, 0)), pause)
		b.time = b.time.Add(time.Second)
	}
	require.NotNil(t, b.pick(t, prompt("s", 10), c))
	require.Len(t, b.PruneAnnouncements(byID(c)), 1)
}

func TestNextOpenReturnsTheEarliestUpstream(t *testing.T) {
	b, c := newTestBalancer(), upstreams(3)
	b.MarkLeaving(c[0])
	b.MarkQuiet(c[1], 3*time.Second)
	b.MarkQuiet(c[2], 2*time.Second)
	opens, found := b.NextOpen(c)
	require.True(t, found)
	require.Equal(t, 2*time.Second, opens)
	_, found = b.NextOpen(c[:1])
	require.False(t, found)
}

// Random sequences of announcements, restarts and passing time: no unavailable upstream is
// chosen.
func TestAnUnavailableUpstreamIsNeverChosen(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20)
	properties := gopter.NewProperties(parameters)
	properties.Property("unavailable", prop.ForAll(func(events []int) bool {
		b, c := newTestBalancer(), upstreams(4)
		for _, e := range events {
			u := c[e%4]
			switch e / 4 % 5 {
			case 0:
				b.MarkLeaving(u)
			case 1:
				b.MarkQuiet(u, time.Duration(e%7)*time.Second)
			case 2:
				b.time = b.time.Add(time.Duration(e%3) * time.Second)
			case 3:
				c[e%4].StartedAt = u.StartedAt.Add(time.Second)
				b.PruneAnnouncements(byID(c))
			}
			ticket, _ := b.Pick(prompt("s", 10), &PickOptions{Service: testEngine, Candidates: c})
			if ticket == nil {
				continue
			}
			if availability, _ := b.Availability(ticket.Upstream); availability != Open {
				return false
			}
			ticket.End(Answered)
		}
		return true
	}, gen.SliceOfN(40, gen.IntRange(0, 9999))))
	properties.TestingRun(t)
}
