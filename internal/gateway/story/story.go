// Package story reconstructs what happened to one request from the logs of all daemons.
//
// Besides the log lines of the request it shows context lines: those that changed its nodes' view
// of its upstreams, of the configuration or of the store. It reads only logs, so it also works
// when no node is running.
package story

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// contextBefore is how long before a request context lines are shown: a replica announces
	// that it leaves some seconds ahead.
	contextBefore = 10 * time.Second
	// contextAfter is how long after the last line of a request context lines are shown.
	contextAfter = 2 * time.Second
	// maxLineBytes is the maximum length of a log line. A longer line ends the reading of its log
	// with an error.
	maxLineBytes = 1 << 20
)

// ErrNotFound is returned when no log mentions the request.
var ErrNotFound = errors.New("no log names the request")

// Line is one log line.
type Line struct {
	At      time.Time
	Node    string
	Message string
	// Own is true for a line of the request itself, and false for a context line.
	Own bool
	// Details are the other fields of the line.
	Details map[string]any
}

// Logs calls read for each log. It can be called more than once.
type Logs func(read func(io.Reader) error) error

// RequestLines returns the lines of a request and its context lines in order of time. Lines
// without a JSON object are skipped, as is text before the object, such as the prefix of a log
// collector.
func RequestLines(request string, logs Logs) ([]Line, error) {
	own, err := collect(logs, func(l *Line) bool { return l.Details["request"] == request })
	if err != nil {
		return nil, err
	}
	if len(own) == 0 {
		return nil, errors.Wrapf(ErrNotFound, "%s", request)
	}
	for i := range own {
		own[i].Own = true
	}
	sortLines(own)
	context, err := collect(logs, contextFilter(own))
	if err != nil {
		return nil, err
	}
	out := slices.Concat(own, context)
	sortLines(out)
	return out, nil
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Node, b.Node)) })
}

// nodeStateMessages are the messages of context lines that do not name an upstream: changes of a
// node's configuration, quota, settings and contact with the store, and its start and stop.
var nodeStateMessages = []string{
	"configuration in force", "store not followed", "store answers again", "following the store",
	"following other nodes", "quota restored", "starting", "stopping", "stopped", "settings reloaded",
}

// contextFilter returns a filter for the context lines of a request's own lines.
func contextFilter(own []Line) func(*Line) bool {
	first, last := own[0].At.Add(-contextBefore), own[len(own)-1].At.Add(contextAfter)
	nodes, upstreams := make(map[string]bool), make(map[any]bool)
	for _, l := range own {
		nodes[l.Node] = true
		if upstream := l.Details["upstream"]; upstream != nil {
			upstreams[upstream] = true
		}
	}
	return func(l *Line) bool {
		switch {
		case l.Details["request"] != nil || !nodes[l.Node] || l.At.Before(first) || l.At.After(last):
			return false
		case l.Message == "upstream" || l.Message == "upstream gone":
			return upstreams[l.Details["upstream"]]
		}
		return slices.Contains(nodeStateMessages, l.Message)
	}
}

// collect returns the matching lines.
func collect(logs Logs, matches func(*Line) bool) ([]Line, error) {
	var out []Line
	err := logs(func(r io.Reader) error {
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if line, ok := parseLine(scanner.Bytes()); ok && matches(&line) {
				out = append(out, line)
			}
		}
		return errors.Wrap(scanner.Err(), "log")
	})
	return out, err
}

// parseLine parses one log line, and reports whether it holds a JSON object.
func parseLine(raw []byte) (Line, bool) {
	at := slices.Index(raw, '{')
	if at < 0 {
		return Line{}, false
	}
	var head struct {
		Time    time.Time `json:"time"`
		Message string    `json:"msg"`
		Node    string    `json:"node"`
	}
	details := make(map[string]any)
	if json.Unmarshal(raw[at:], &head) != nil || json.Unmarshal(raw[at:], &details) != nil {
		return Line{}, false
	}
	for _, name := range []string{"time", "msg", "node", "level", "incarnation"} {
		delete(details, name)
	}
	return Line{At: head.Time, Node: head.Node, Message: head.Message, Details: details}, true
}

// Write writes one line of text for each log line: the time since the request's first own line, a
// mark for own lines, node, message and details.
func Write(w io.Writer, lines []Line) error {
	firstOwn := slices.IndexFunc(lines, func(l Line) bool { return l.Own })
	for _, l := range lines {
		mark := " "
		if l.Own {
			mark = ">"
		}
		since := l.At.Sub(lines[max(firstOwn, 0)].At).Seconds()
		if _, err := fmt.Fprintf(w, "%+9.3fs %s %s  %s%s\n", since, mark, l.Node, l.Message, l.details()); err != nil {
			return err
		}
	}
	return nil
}

// details formats the other fields, ordered by name.
func (l *Line) details() string {
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Details)) {
		value := l.Details[name]
		if nanoseconds, ok := value.(float64); ok && isDuration(name) {
			value = time.Duration(nanoseconds).Round(time.Microsecond)
		}
		fmt.Fprintf(&out, "  %s=%v", name, value)
	}
	return out.String()
}

// isDuration reports whether the field with this name holds nanoseconds.
func isDuration(name string) bool {
	switch name {
	case "after", "retry_after", "config_age", "upstreams_age", "away", "age", "took", "limit":
		return true
	}
	return false
}
