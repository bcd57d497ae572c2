package logging

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/settings"
)

func TestLinesContainNodeIncarnationAndRequest(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, settings.Log{Level: "info", Format: "json"}, "n1", "n1_0123456789abcdef")
	id := ident.RequestID{Home: "n1_0123456789abcdef", Witness: "n2_0123456789abcdef", Random: "aaaaaaaaaaaaaaaa"}
	log.Debug("not shown")
	log.Info("accepted", Request(id), Upstream("u1"), "tokens", 7)
	var line struct{ Node, Incarnation, Request, Upstream, Msg string }
	require.NoError(t, json.Unmarshal(out.Bytes(), &line), out.String())
	require.Equal(t, "n1", line.Node)
	require.Equal(t, "n1_0123456789abcdef", line.Incarnation)
	require.Equal(t, id.String(), line.Request)
	require.Equal(t, "accepted", line.Msg)
	require.Contains(t, out.String(), `"tokens":7`)
}

func TestSecretsAreRedacted(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		var out bytes.Buffer
		log := New(&out, settings.Log{Level: "debug", Format: format}, "n1", "n1_0123456789abcdef")
		log.Debug("x", "peerToken", "planted", "Authorization", "planted", slog.Group("platform", "token", "planted", "url", "shown"))
		require.NotContains(t, out.String(), "planted")
		require.Contains(t, out.String(), "shown")
	}
}

func TestLevelFiltersLines(t *testing.T) {
	for name, want := range map[string]int{"debug": 4, "info": 3, "warn": 2, "error": 1} {
		var out bytes.Buffer
		log := New(&out, settings.Log{Level: name, Format: "text"}, "n1", "i")
		log.Debug("x")
		log.Info("x")
		log.Warn("x")
		log.Error("x")
		require.Equal(t, want, bytes.Count(out.Bytes(), []byte("\n")), name)
	}
}
