// Package logging makes the process's logger from its settings.
//
// Invariants: each line carries the node and its incarnation; the value of an
// attribute whose key names a secret is never written.
package logging

import (
	"io"
	"log/slog"
	"strings"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/settings"
)

// The keys of the attributes that lines share.
const (
	KeyNode        = "node"
	KeyIncarnation = "incarnation"
	KeyRequest     = "request"
	KeyUpstream    = "upstream"
	KeyChange      = "change"
	KeyError       = "error"
)

// hidden stands in the place of a secret.
const hidden = "(hidden)"

// secretWords mark keys whose values are secret.
var secretWords = []string{"token", "secret", "password", "authorization"}

// notSecret holds keys that contain a secret word and are none: counts and names.
var notSecret = map[string]bool{"tokens": true, "max_tokens": true, "token_name": true}

// New returns a logger that writes to w as cfg says.
func New(w io.Writer, cfg settings.Log, node ident.Node, incarnation ident.Incarnation) *slog.Logger {
	options := &slog.HandlerOptions{Level: level(cfg.Level), ReplaceAttr: hideSecrets}
	var handler slog.Handler = slog.NewTextHandler(w, options)
	if cfg.Format == "json" {
		handler = slog.NewJSONHandler(w, options)
	}
	return slog.New(handler).With(KeyNode, node, KeyIncarnation, incarnation)
}

// Request is the attribute for the request that a line is about.
func Request(id ident.RequestID) slog.Attr {
	return slog.String(KeyRequest, id.String())
}

// Upstream is the attribute for the upstream that a line is about.
func Upstream(id ident.Upstream) slog.Attr {
	return slog.String(KeyUpstream, string(id))
}

// Change is the attribute for the change of configuration that a line is about.
func Change(id ident.Change) slog.Attr {
	return slog.String(KeyChange, string(id))
}

// Error is the attribute for an error.
func Error(err error) slog.Attr {
	if err == nil {
		return slog.String(KeyError, "")
	}
	return slog.String(KeyError, err.Error())
}

func level(name string) slog.Level {
	switch name {
	case "debug":
		return slog.LevelDebug
	case "warn":
		return slog.LevelWarn
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}

func hideSecrets(_ []string, attr slog.Attr) slog.Attr {
	key := strings.ToLower(attr.Key)
	if notSecret[key] || attr.Value.Kind() == slog.KindInt64 {
		return attr
	}
	for _, word := range secretWords {
		if strings.Contains(key, word) {
			return slog.String(attr.Key, hidden)
		}
	}
	return attr
}
