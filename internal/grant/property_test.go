package grant

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// propertySeed makes the generated sequences of the property tests reproducible.
const propertySeed = 20260801

// history records what the holders of one request were told.
type history struct {
	granted map[ident.Incarnation]bool
	notRun  bool
	tokens  []string
}

// violation describes a contradiction between the answers so far, or is empty.
func (h *history) violation() string {
	if len(h.granted) > 1 {
		return fmt.Sprintf("granted to %d holders", len(h.granted))
	}
	if h.notRun && len(h.granted) > 0 {
		return "granted and reported as not run"
	}
	return ""
}

// apply performs one operation on the table, chosen by the mixed-radix digits of
// op, and returns the table that answers from then on. A hand-over replaces the
// table by its successor, with the snapshot encoded and decoded.
func (h *history) apply(t *Table, op uint16) *Table {
	holder := ident.Incarnation(fmt.Sprintf("n%d_0000000000000001", op%3))
	epoch := uint64(op / 3 % 4)
	switch op / 12 % 7 {
	case 0:
		_, _ = t.Claim(&ClaimRequest{ID: testID, Holder: holder, Spec: spec(false), SeenEpoch: epoch})
	case 1:
		if r, err := t.Grant(&Request{ID: testID, Holder: holder, Epoch: epoch}); err == nil && r.Granted {
			h.granted[holder] = true
		}
	case 2:
		if r, err := t.Void(&VoidRequest{ID: testID, Holder: holder}); err == nil && r.Voided {
			h.notRun = true
		}
	case 3:
		_, _ = t.Progress(&ProgressRequest{ID: testID, Holder: holder, Epoch: epoch, Moves: 9, Released: op%2 == 0})
	case 4:
		record := request.Record{Phase: request.PhaseFailed, Failure: verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "late")}
		_, _ = t.Finish(&FinishRequest{ID: testID, Holder: holder, Epoch: epoch, Record: record})
	case 5:
		t.Expire(deadline.Add(time.Hour), 0)
	case 6:
		return handOver(t)
	}
	return t
}

func handOver(t *Table) *Table {
	if err := t.Close(other); err != nil {
		return t
	}
	s, err := t.Snapshot()
	if err != nil {
		return t
	}
	data, err := s.Encode()
	if err != nil {
		return t
	}
	back, err := DecodeSnapshot(data)
	if err != nil {
		return t
	}
	next := NewSuccessorTable(10)
	next.Install(back)
	return next
}

func newProperties() *gopter.Properties {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = 2000
	parameters.MaxSize = 60
	return gopter.NewProperties(parameters)
}

func TestAnyOrderOfCallsGrantsAtMostOnce(t *testing.T) {
	properties := newProperties()
	properties.Property("at most one grant, and none together with not run", prop.ForAll(func(ops []uint16) string {
		h := &history{granted: make(map[ident.Incarnation]bool)}
		table := NewTable(10)
		for _, op := range ops {
			table = h.apply(table, op)
			if violation := h.violation(); violation != "" {
				return violation
			}
		}
		return ""
	}, gen.SliceOf(gen.UInt16Range(0, 12*7-1))))
	properties.TestingRun(t)
}

func TestProgressInAnyOrderKeepsAPrefixOfTheGeneration(t *testing.T) {
	properties := newProperties()
	properties.Property("the record is a prefix of the generation", prop.ForAll(func(reports []uint16) string {
		table := NewTable(10)
		_, _ = table.Claim(&ClaimRequest{ID: testID, Holder: home, Spec: spec(true)})
		h := &history{}
		for _, r := range reports {
			if violation := h.report(table, int(r%16), int(r/16)); violation != "" {
				return violation
			}
		}
		return ""
	}, gen.SliceOf(gen.UInt16Range(0, 16*8-1))))
	properties.TestingRun(t)
}

// report sends count tokens from offset on and checks the record afterwards.
func (h *history) report(table *Table, offset, count int) string {
	var tokens []string
	for i := range count {
		tokens = append(tokens, fmt.Sprint("t", offset+i))
	}
	before := len(h.tokens)
	reply, err := table.Progress(&ProgressRequest{ID: testID, Holder: home, Epoch: 1, Generation: "g", Offset: offset, Tokens: tokens})
	if err != nil {
		return err.Error()
	}
	if reply.Applied != (offset <= before) {
		return fmt.Sprintf("applied %t at offset %d with %d known", reply.Applied, offset, before)
	}
	fetched, err := table.Fetch(&FetchRequest{ID: testID})
	if err != nil {
		return err.Error()
	}
	h.tokens = fetched.Record.Tokens
	if len(h.tokens) < before {
		return "tokens were lost"
	}
	for i, token := range h.tokens {
		if token != fmt.Sprint("t", i) {
			return fmt.Sprintf("token %d is %s", i, token)
		}
	}
	return ""
}
