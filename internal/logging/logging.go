// Package logging creates the process's logger from its settings.
//
// Invariants: each line contains the node and its incarnation; the value of an
// attribute whose key names a secret is never written.
package logging

import (
	"io"
	"log/slog"
	"strings"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/settings"
)

// The keys of common attributes.
const (
	KeyNode        = "node"
	KeyIncarnation = "incarnation"
	KeyRequest     = "request"
	KeyUpstream    = "upstream"
	KeyChange      = "change"
	KeyError       = "error"
)

// redactedText replaces the value of a secret.
const redactedText = "(hidden)"

// secretWords are parts of keys whose values are secret.
var secretWords = []string{"token", "secret", "password", "authorization"}

// nonSecretKeys are keys that contain one of secretWords but whose values, counts and names, are not secret.
var nonSecretKeys = map[string]bool{"tokens": true, "max_tokens": true, "token_name": true}

// New returns a logger that writes to w with the level and format in cfg.
func New(w io.Writer, cfg settings.Log, node ident.Node, incarnation ident.Incarnation) *slog.Logger {
	options := &slog.HandlerOptions{Level: parseLevel(cfg.Level), ReplaceAttr: redactSecrets}
	var handler slog.Handler = slog.NewTextHandler(w, options)
	if cfg.Format == "json" {
		handler = slog.NewJSONHandler(w, options)
	}
	return slog.New(handler).With(KeyNode, node, KeyIncarnation, incarnation)
}

// Request returns the attribute for the request that a line is about.
func Request(id ident.RequestID) slog.Attr {
	return slog.String(KeyRequest, id.String())
}

// Upstream returns the attribute for the upstream that a line is about.
func Upstream(id ident.Upstream) slog.Attr {
	return slog.String(KeyUpstream, string(id))
}

// Change returns the attribute for the configuration change that a line is about.
func Change(id ident.Change) slog.Attr {
	return slog.String(KeyChange, string(id))
}

// Error returns the attribute for an error; it is empty for nil.
func Error(err error) slog.Attr {
	if err == nil {
		return slog.String(KeyError, "")
	}
	return slog.String(KeyError, err.Error())
}

// parseLevel returns the level called name; an unknown name is the level info.
func parseLevel(name string) slog.Level {
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

// redactSecrets replaces the value of an attribute whose key contains one of secretWords. Integers
// stay, since they are counts.
func redactSecrets(_ []string, attr slog.Attr) slog.Attr {
	key := strings.ToLower(attr.Key)
	if nonSecretKeys[key] || attr.Value.Kind() == slog.KindInt64 {
		return attr
	}
	for _, word := range secretWords {
		if strings.Contains(key, word) {
			return slog.String(attr.Key, redactedText)
		}
	}
	return attr
}
