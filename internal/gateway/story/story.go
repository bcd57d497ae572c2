// Package story tells what happened to one request from the logs of all daemons.
//
// Besides the lines of the request it shows those that changed what its node believed:
// of the upstreams that it was sent to, of the configuration and of the store. It reads
// logs only, so it serves when no node is left that could be asked.
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
	// before is how long before a request lines of its surroundings are shown: a
	// replica that leaves is told of some seconds ahead.
	before = 10 * time.Second
	// after is the same behind its last line.
	after = 2 * time.Second
	// maxLineBytes bounds a line of a log; longer ones are passed over by their file's end.
	maxLineBytes = 1 << 20
)

// ErrUnknown means that no log names the request.
var ErrUnknown = errors.New("no log names the request")

// Line is one line of a log.
type Line struct {
	At      time.Time
	Node    string
	Message string
	// Own is true for a line of the request itself, false for one of its surroundings.
	Own bool
	// Details are the other fields, as the line has them.
	Details map[string]any
}

// Logs are logs that can be read more than once.
type Logs func(read func(io.Reader) error) error

// Of returns the story of a request, in the order of time. Lines that are no JSON
// objects are passed over; what stands before the object, as a collector's prefix, too.
func Of(request string, logs Logs) ([]Line, error) {
	own, err := collect(logs, func(l *Line) bool { return l.Details["request"] == request })
	if err != nil {
		return nil, err
	}
	if len(own) == 0 {
		return nil, errors.Wrapf(ErrUnknown, "%s", request)
	}
	for i := range own {
		own[i].Own = true
	}
	sortLines(own)
	surroundings, err := collect(logs, surroundingsOf(own))
	if err != nil {
		return nil, err
	}
	out := slices.Concat(own, surroundings)
	sortLines(out)
	return out, nil
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Node, b.Node)) })
}

// changesOfBelief are the messages that say what a node believes, or that it begins or ends.
var changesOfBelief = []string{
	"configuration in force", "store not followed", "store answers again", "following the store",
	"following other nodes", "quota restored", "starting", "stopping", "stopped", "settings reloaded",
}

// surroundingsOf returns which lines surround those of a request.
func surroundingsOf(own []Line) func(*Line) bool {
	first, last := own[0].At.Add(-before), own[len(own)-1].At.Add(after)
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
		return slices.Contains(changesOfBelief, l.Message)
	}
}

// collect returns the lines that fit.
func collect(logs Logs, fits func(*Line) bool) ([]Line, error) {
	var out []Line
	err := logs(func(r io.Reader) error {
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if line, ok := decode(scanner.Bytes()); ok && fits(&line) {
				out = append(out, line)
			}
		}
		return errors.Wrap(scanner.Err(), "log")
	})
	return out, err
}

// decode reads one line.
func decode(raw []byte) (Line, bool) {
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

// Write writes a story, one line each: the time since its first own line, a mark for own
// lines, node, message and details.
func Write(w io.Writer, lines []Line) error {
	begin := slices.IndexFunc(lines, func(l Line) bool { return l.Own })
	for _, l := range lines {
		mark := " "
		if l.Own {
			mark = ">"
		}
		since := l.At.Sub(lines[max(begin, 0)].At).Seconds()
		if _, err := fmt.Fprintf(w, "%+9.3fs %s %s  %s%s\n", since, mark, l.Node, l.Message, l.details()); err != nil {
			return err
		}
	}
	return nil
}

// details returns the other fields, ordered by name.
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

// isDuration reports whether a field holds nanoseconds.
func isDuration(name string) bool {
	switch name {
	case "after", "retry_after", "config_age", "upstreams_age", "away", "age", "took", "limit":
		return true
	}
	return false
}
