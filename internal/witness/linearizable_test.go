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

// slotInput is one call about the slot of one request.
type slotInput struct {
	request string
	holder  ident.Incarnation
	void    bool
}

// slotOutput is its answer; lost means that nobody answered, and that the call
// may have taken effect.
type slotOutput struct {
	yes  bool
	lost bool
}

// nobody is the state of a slot that was taken for nobody.
const nobody = "nobody"

// slotModel is a register that is written once: by the first grant or void.
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

func stepSlot(owner string, in slotInput, out slotOutput) []any {
	wants := string(in.holder)
	if in.void {
		wants = nobody
	}
	switch {
	case out.lost && owner == "":
		return []any{owner, wants}
	case out.lost:
		return []any{owner}
	case out.yes && (owner == "" || owner == wants):
		return []any{wants}
	case !out.yes && owner != wants:
		// A claim may have been lost to another holder before the slot was taken.
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

func (h *slotHistory) do(client int, in slotInput, call func() slotOutput) {
	began := time.Since(h.start).Nanoseconds()
	out := call()
	ended := time.Since(h.start).Nanoseconds()
	if out.lost {
		ended = 1 << 62 // it may take effect at any time from here on
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: began, Output: out, Return: ended})
}

// runClient asks for and voids the slots of requests in an order of its own.
func (h *slotHistory) runClient(n *testNode, client int, ids []ident.RequestID, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(client)))
	self := n.member.Incarnation
	for _, i := range random.Perm(len(ids)) {
		id := ids[i]
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		if random.IntN(4) == 0 {
			h.do(client, slotInput{request: id.Random, holder: self, void: true}, func() slotOutput {
				reply, err := n.client.Void(ctx, &grant.VoidRequest{ID: id, Holder: self, Spec: newSpec(id, "")})
				return slotOutput{yes: reply.Voided, lost: err != nil}
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
			h.do(client, slotInput{request: id.Random, holder: self}, func() slotOutput {
				reply, err := n.client.Grant(ctx, &grant.Request{ID: id, Holder: self, Epoch: claim.Record.Epoch})
				return slotOutput{yes: reply.Granted, lost: err != nil}
			})
		}
		cancel()
	}
}

// TestSlotsAreRegistersWrittenOnce runs askers against a witness that hands
// over to a second and that to a third, and checks the history by porcupine.
func TestSlotsAreRegistersWrittenOnce(t *testing.T) {
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
			yes, lost := 0, 0
			for _, op := range h.ops {
				out := op.Output.(slotOutput)
				if out.yes {
					yes++
				}
				if out.lost {
					lost++
				}
			}
			t.Logf("%d calls, %d took a slot, %d without an answer", len(h.ops), yes, lost)
			require.Positive(t, yes)
			require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(slotModel.ToModel(), h.ops, time.Minute))
		})
	}
}

func TestSlotModelRefusesTwoHolders(t *testing.T) {
	ops := []porcupine.Operation{
		{ClientId: 0, Input: slotInput{request: "r", holder: "a"}, Call: 0, Output: slotOutput{yes: true}, Return: 5},
		{ClientId: 1, Input: slotInput{request: "r", holder: "b"}, Call: 1, Output: slotOutput{yes: true}, Return: 6},
	}
	require.Equal(t, porcupine.Illegal, porcupine.CheckOperationsTimeout(slotModel.ToModel(), ops, time.Minute))
	ops[1].Input = slotInput{request: "r", holder: "b", void: true}
	require.Equal(t, porcupine.Illegal, porcupine.CheckOperationsTimeout(slotModel.ToModel(), ops, time.Minute))
}
