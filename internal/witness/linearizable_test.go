package witness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
)

// slotInput is the input of an operation on the slot of one request.
type slotInput struct {
	request string
	holder  ident.Incarnation
	void    bool
}

// slotOutput is the output of an operation. An unanswered call may have taken
// effect.
type slotOutput struct {
	taken      bool
	unanswered bool
}

// voided is the state of a slot that was voided.
const voided = "nobody"

// slotModel is a write-once register, written by the first grant or void.
var slotModel = porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byRequest := make(map[string][]porcupine.Operation)
		for _, op := range ops {
			request := op.Input.(slotInput).request
			byRequest[request] = append(byRequest[request], op)
		}
		var out [][]porcupine.Operation
		for _, part := range byRequest {
			out = append(out, part)
		}
		return out
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		return stepSlot(state.(string), input.(slotInput), output.(slotOutput))
	},
	Equal: func(a, b any) bool { return a == b },
}

// stepSlot returns the possible states of a slot after an operation; none if the
// output is not possible.
func stepSlot(owner string, in slotInput, out slotOutput) []any {
	wants := string(in.holder)
	if in.void {
		wants = voided
	}
	switch {
	case out.unanswered && owner == "":
		return []any{owner, wants}
	case out.unanswered:
		return []any{owner}
	case out.taken && (owner == "" || owner == wants):
		return []any{wants}
	case !out.taken && owner != wants:
		// Another holder may have claimed the request before the slot was taken.
		return []any{owner}
	}
	return nil
}

// slotHistory collects operations with their times.
type slotHistory struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

// record performs one operation and adds it to the history.
func (h *slotHistory) record(client int, in slotInput, call func() slotOutput) {
	began := time.Since(h.start).Nanoseconds()
	out := call()
	ended := time.Since(h.start).Nanoseconds()
	if out.unanswered {
		ended = 1 << 62 // it may take effect at any later time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: began, Output: out, Return: ended})
}

// runClient requests grants and voids for all ids in a random order.
func (h *slotHistory) runClient(n *testNode, client int, ids []ident.RequestID, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(client)))
	self := n.member.Incarnation
	for _, i := range random.Perm(len(ids)) {
		id := ids[i]
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		if random.IntN(4) == 0 {
			h.record(client, slotInput{request: id.Random, holder: self, void: true}, func() slotOutput {
				reply, err := n.client.Void(ctx, &grant.VoidRequest{ID: id, Holder: self, Spec: newSpec(id, "")})
				return slotOutput{taken: reply.Voided, unanswered: err != nil}
			})
			cancel()
			continue
		}
		seen := uint64(0)
		if claim, err := n.client.Claim(ctx, &grant.ClaimRequest{ID: id, Holder: self, Spec: newSpec(id, "")}); err == nil {
			seen = claim.Record.Epoch
		}
		claim, err := n.client.Claim(ctx, &grant.ClaimRequest{ID: id, Holder: self, SeenEpoch: seen})
		if err == nil && claim.Claimed {
			h.record(client, slotInput{request: id.Random, holder: self}, func() slotOutput {
				reply, err := n.client.Grant(ctx, &grant.Request{ID: id, Holder: self, Epoch: claim.Record.Epoch})
				return slotOutput{taken: reply.Granted, unanswered: err != nil}
			})
		}
		cancel()
	}
}

// TestSlotsAreLinearizableWriteOnceRegisters runs clients against a witness whose
// table is handed over twice, and checks the history with porcupine.
func TestSlotsAreLinearizableWriteOnceRegisters(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			_, nodes := startNodes(t, 6)
			askers, old, next, last := nodes[:3], nodes[3], nodes[4], nodes[5]
			var ids []ident.RequestID
			for i := range 150 {
				ids = append(ids, ident.RequestID{Home: askers[0].member.Incarnation, Witness: old.member.Incarnation, Random: fmt.Sprintf("register%08d", i)})
			}
			h := &slotHistory{start: time.Now()}
			var wg sync.WaitGroup
			for i, n := range askers {
				wg.Go(func() { h.runClient(n, i, ids, seed) })
			}
			wg.Go(func() {
				if err := old.service.HandOver(testContext(t), next.member); err != nil {
					t.Errorf("first hand-over: %v", err)
				}
				if err := next.service.HandOver(testContext(t), last.member); err != nil {
					t.Errorf("second hand-over: %v", err)
				}
			})
			wg.Wait()
			yes, unanswered := 0, 0
			for _, op := range h.ops {
				out := op.Output.(slotOutput)
				if out.taken {
					yes++
				}
				if out.unanswered {
					unanswered++
				}
			}
			t.Logf("%d calls, %d took a slot, %d without an answer", len(h.ops), yes, unanswered)
			require.Positive(t, yes)
			require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(slotModel.ToModel(), h.ops, time.Minute))
		})
	}
}

func TestSlotModelRejectsTwoHolders(t *testing.T) {
	ops := []porcupine.Operation{
		{ClientId: 0, Input: slotInput{request: "r", holder: "a"}, Call: 0, Output: slotOutput{taken: true}, Return: 5},
		{ClientId: 1, Input: slotInput{request: "r", holder: "b"}, Call: 1, Output: slotOutput{taken: true}, Return: 6},
	}
	require.Equal(t, porcupine.Illegal, porcupine.CheckOperationsTimeout(slotModel.ToModel(), ops, time.Minute))
	ops[1].Input = slotInput{request: "r", holder: "b", void: true}
	require.Equal(t, porcupine.Illegal, porcupine.CheckOperationsTimeout(slotModel.ToModel(), ops, time.Minute))
}
