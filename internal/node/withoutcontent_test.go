package node

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/request"
)

func TestDumpsContainNoRequestContent(t *testing.T) {
	records := []request.Record{{
		Spec:   request.Spec{Kind: "chat", Input: "planted input"},
		Tokens: []string{"planted", " token"},
		Output: "planted output",
	}}
	data, err := json.Marshal(withoutContent(records))
	require.NoError(t, err)
	require.NotContains(t, string(data), "planted")
	require.Contains(t, string(data), "(13 bytes)")
	require.Contains(t, string(data), "(2 tokens)")
	require.Equal(t, "planted input", records[0].Spec.Input, "the original records must not be modified")
	require.Equal(t, []string{"planted", " token"}, records[0].Tokens)
}
