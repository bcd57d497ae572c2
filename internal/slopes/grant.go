package slopes

import (
	"fmt"
	"strings"
	"time"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

const (
	// grantRecords is how many records the witness table is measured with.
	grantRecords = 50_000
	// promptBytes is the length of the prompt in a record.
	promptBytes = 2000
	// answerTokens is the length of an answer, tokenBytes that of a token.
	answerTokens = 335
	tokenBytes   = 4
	// progressTokens is how many tokens a report of progress brings.
	progressTokens = 10
	deadlineAfter  = 30 * time.Second
)

// specN returns the nth request of home at witness.
func specN(home, witness ident.Incarnation, n int) *request.Spec {
	id := ident.RequestID{Home: home, Witness: witness, Random: fmt.Sprintf("%08x-%020d", time.Now().Unix(), n)}
	return &request.Spec{
		ID: id, Workspace: "workspace-1", Kind: "draft", Model: "model-1",
		Input:     strings.Repeat("x", promptBytes-8) + fmt.Sprintf("%08d", n),
		MaxTokens: answerTokens, Deadline: time.Now().Add(deadlineAfter), Priority: 5,
	}
}

func tokensOf(count int) []string {
	out := make([]string, count)
	for i := range out {
		out[i] = strings.Repeat("t", tokenBytes)
	}
	return out
}

// grants measures the witness table: memory of a record and time of each transition.
func grants() ([]Figure, error) {
	home, witness := memberN(0, time.Now(), "").Incarnation, memberN(1, time.Now(), "").Incarnation
	m := &measuredTable{table: grant.NewTable(grantRecords * 2), home: home}
	before := now(true)
	m.specs = make([]*request.Spec, grantRecords)
	for n := range m.specs {
		m.specs[n] = specN(home, witness, n)
	}
	claim := cost(grantRecords, m.claim)
	accepted := signedDifference(now(true), before)
	right := cost(grantRecords, m.grant)
	progress := cost(grantRecords, m.progress)
	finish := cost(grantRecords, m.finish)
	finished := signedDifference(now(true), before)
	m.specs = nil
	m.table.Expire(time.Now().Add(time.Hour), time.Minute)
	spent := signedDifference(now(true), before)
	how := fmt.Sprintf("%d records, prompt of %d B, answer of %d tokens", grantRecords, promptBytes, answerTokens)
	figures := []Figure{
		{Name: "witness.memory_accepted", Value: accepted / grantRecords, Unit: unitBytes, How: how},
		{Name: "witness.memory_finished", Value: finished / grantRecords, Unit: unitBytes, How: how},
		{Name: "witness.memory_expired", Value: spent / float64(m.table.Spent()), Unit: unitBytes, How: how},
		{Name: "witness.claim_table", Value: claim, Unit: unitMicroseconds, How: how},
		{Name: "witness.grant_table", Value: right, Unit: unitMicroseconds, How: how},
		{Name: "witness.progress_table", Value: progress, Unit: unitMicroseconds, How: how},
		{Name: "witness.finish_table", Value: finish, Unit: unitMicroseconds, How: how + ", the answer's copy included"},
	}
	return figures, m.err
}
