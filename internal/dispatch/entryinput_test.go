package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/request"
)

// countedMemory counts how often it is retained.
type countedMemory int

func (m *countedMemory) Retain()  { *m++ }
func (m *countedMemory) Release() { *m-- }

func TestEntryThatHasRunKeepsADigestOfItsInputAndNoMemory(t *testing.T) {
	spec := request.Spec{Model: "m", Input: "a prompt", Idempotent: true}
	another := spec
	another.Input = "another prompt"
	e := newEntry(request.Record{Spec: spec}, nil)
	memory := new(countedMemory)
	e.retain(memory)
	require.EqualValues(t, 1, *memory)
	for range 2 {
		require.True(t, e.sameWork(&spec))
		require.False(t, e.sameWork(&another))
		e.dropInput()
		require.EqualValues(t, 0, *memory)
		require.Empty(t, e.snapshot().Spec.Input)
	}
}
