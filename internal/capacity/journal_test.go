package capacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/explain"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

func TestDecisionsAboutHostsAreRecorded(t *testing.T) {
	s := newTestSite(t)
	r := s.newHolder(new(crashPoint))
	journal := explain.NewJournal("n1_0123456789abcdef", 64, time.Now)
	r.options.Journal = journal
	s.platform.AddFault(platform.Fault{Service: platform.ServiceCloud, Kind: platform.FaultRefuseStarts, FailureDomain: "d1"})
	s.passes(r, 4, func() {})
	s.site.Models[0].Replicas = 0
	s.passes(r, 4, func() {})

	refused := journal.Lookup(explain.Subject{Kind: explain.KindHost, ID: "d1/small/reclaimable"})
	require.NotEmpty(t, refused)
	require.Contains(t, refused[0].Sentence(), "refused a reclaimable host of class small in failure domain d1 for model m1")

	decisions := make(map[ident.Host][]string)
	for _, line := range s.platform.Bill() {
		id := ident.Host(line.Host.ID)
		for _, entry := range journal.Lookup(explain.Subject{Kind: explain.KindHost, ID: string(id)}) {
			decisions[id] = append(decisions[id], entry.Decision.Name)
		}
		require.Equal(t, []string{"host started", "load ordered", "host ended"}, decisions[id], id)
	}
	require.Len(t, decisions, 4)
}
