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
	// answerTokens is the length of an answer in tokens, tokenBytes that of a token in
	// bytes.
	answerTokens = 335
	tokenBytes   = 4
	// progressTokens is how many tokens a progress report carries.
	progressTokens = 10
	deadlineAfter  = 30 * time.Second
)

// specN returns the nth request of home, recorded at witness.
func specN(home, witness ident.Incarnation, n int) *request.Spec {
	id := ident.RequestID{Home: home, Witness: witness, Random: fmt.Sprintf("%08x-%020d", time.Now().Unix(), n)}
	return &request.Spec{
		ID: id, Workspace: "workspace-1", Kind: "draft", Model: "model-1",
		Input:     strings.Repeat("x", promptBytes-8) + fmt.Sprintf("%08d", n),
		MaxTokens: answerTokens, Deadline: time.Now().Add(deadlineAfter), Priority: 5,
	}
}

// tokensOf returns count tokens of tokenBytes each.
func tokensOf(count int) []string {
	out := make([]string, count)
	for i := range out {
		out[i] = strings.Repeat("t", tokenBytes)
	}
	return out
}

// measureGrantTable measures the witness table: the memory of a record in each state and
// the processor time of each transition.
func measureGrantTable() ([]Figure, error) {
	home, witness := memberN(0, time.Now(), "").Incarnation, memberN(1, time.Now(), "").Incarnation
	m := &measuredTable{table: grant.NewTable(grantRecords * 2), home: home}
	before := readUsage(true)
	m.specs = make([]*request.Spec, grantRecords)
	for n := range m.specs {
		m.specs[n] = specN(home, witness, n)
	}
	claimTime := processorTimePerCall(grantRecords, m.claim)
	accepted := memoryGrowth(readUsage(true), before)
	grantTime := processorTimePerCall(grantRecords, m.grant)
	progressTime := processorTimePerCall(grantRecords, m.progress)
	finishTime := processorTimePerCall(grantRecords, m.finish)
	finished := memoryGrowth(readUsage(true), before)
	m.specs = nil
	m.table.Expire(time.Now().Add(time.Hour), time.Minute)
	expired := memoryGrowth(readUsage(true), before)
	how := fmt.Sprintf("%d records, prompt of %d B, answer of %d tokens", grantRecords, promptBytes, answerTokens)
	figures := []Figure{
		{Name: "witness.memory_accepted", Value: accepted / grantRecords, Unit: unitBytes, How: how},
		{Name: "witness.memory_finished", Value: finished / grantRecords, Unit: unitBytes, How: how},
		{Name: "witness.memory_expired", Value: expired / float64(m.table.Spent()), Unit: unitBytes, How: how},
		{Name: "witness.claim_table", Value: claimTime, Unit: unitMicroseconds, How: how},
		{Name: "witness.grant_table", Value: grantTime, Unit: unitMicroseconds, How: how},
		{Name: "witness.progress_table", Value: progressTime, Unit: unitMicroseconds, How: how},
		{Name: "witness.finish_table", Value: finishTime, Unit: unitMicroseconds, How: how + ", the answer's copy included"},
	}
	return figures, m.err
}
