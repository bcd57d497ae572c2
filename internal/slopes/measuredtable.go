package slopes

import (
	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

// measuredTable is a witness table with the requests of one home. Each of its methods
// applies one transition to the nth request; they are called in the order of the
// transitions.
type measuredTable struct {
	table *grant.Table
	home  ident.Incarnation
	specs []*request.Spec
	// err is the last error of a transition.
	err error
}

// keepError stores err if there is one.
func (m *measuredTable) keepError(err error) {
	if err != nil {
		m.err = err
	}
}

func (m *measuredTable) claim(n int) {
	_, err := m.table.Claim(&grant.ClaimRequest{ID: m.specs[n].ID, Holder: m.home, Spec: m.specs[n]})
	m.keepError(err)
}

func (m *measuredTable) grant(n int) {
	_, err := m.table.Grant(&grant.Request{ID: m.specs[n].ID, Holder: m.home, Epoch: 1})
	m.keepError(err)
}

func (m *measuredTable) progress(n int) {
	_, err := m.table.Progress(&grant.ProgressRequest{
		ID: m.specs[n].ID, Holder: m.home, Epoch: 1, Upstream: "u1", Generation: "g1", Tokens: tokensOf(progressTokens),
	})
	m.keepError(err)
}

func (m *measuredTable) finish(n int) {
	done := request.Record{
		Spec: *m.specs[n], Phase: request.PhaseDone, Holder: m.home, Epoch: 1, Generation: "g1", Tokens: tokensOf(answerTokens),
	}
	_, err := m.table.Finish(&grant.FinishRequest{ID: m.specs[n].ID, Holder: m.home, Epoch: 1, Record: done})
	m.keepError(err)
}
