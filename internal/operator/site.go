package operator

import (
	"context"
	"fmt"
	"sync"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/query"
)

// maxNodesShown is the most nodes that one show command asks.
const maxNodesShown = 64

// Site gathers the rows of a table that each node keeps for itself.
type Site struct {
	members membership.View
	caller  peer.Caller
	own     *ShowService
}

// NewSite returns a Site that asks others by caller and this node through own.
func NewSite(members membership.View, caller peer.Caller, own *ShowService) *Site {
	return &Site{members: members, caller: caller, own: own}
}

// told is what one node told.
type told struct {
	node  ident.Node
	reply ShowReply
	err   error
}

// gather returns the rows of all nodes, each with the row's key once, and notes on what is missing.
func (s *Site) gather(ctx context.Context, command string, table *query.Table) ([]query.Row, []string) {
	ctx, cancel := context.WithTimeout(ctx, showTimeout)
	defer cancel()
	members, left := s.asked()
	answers := make([]told, len(members))
	var wait sync.WaitGroup
	for i, member := range members {
		wait.Go(func() { answers[i] = s.ask(ctx, member, command) })
	}
	wait.Wait()
	var notes []string
	if left > 0 {
		notes = append(notes, fmt.Sprintf("%d nodes were not asked", left))
	}
	rows := newMergedRows(len(table.Columns))
	for i := range answers {
		switch {
		case answers[i].err != nil:
			notes = append(notes, fmt.Sprintf("no rows from %s: %v", answers[i].node, answers[i].err))
		case answers[i].reply.Cut:
			notes = append(notes, fmt.Sprintf("%s told only its first %d rows", answers[i].node, maxRowsFromNode))
		}
		rows.add(answers[i].reply.Rows)
	}
	return rows.rows, notes
}

func (s *Site) asked() ([]membership.Member, int) {
	var out []membership.Member
	for _, member := range s.members.Members() {
		if member.State != membership.StateDead && member.State != membership.StateLeft {
			out = append(out, member)
		}
	}
	if len(out) <= maxNodesShown {
		return out, 0
	}
	return out[:maxNodesShown], len(out) - maxNodesShown
}

func (s *Site) ask(ctx context.Context, member membership.Member, command string) told {
	out := told{node: member.Node}
	args := &ShowRequest{Command: command}
	if member.Incarnation == s.members.Self().Incarnation {
		out.err = s.own.Show(args, &out.reply)
		return out
	}
	out.err = s.caller.Call(ctx, member.PeerAddress, ShowServiceName+".Show", args, &out.reply)
	return out
}

// mergedRows holds the rows of several nodes, one for each key, which is the
// first column. When two nodes tell of one key, the row with the larger numbers
// stays: more tokens or more moves are later news.
type mergedRows struct {
	width int
	rows  []query.Row
	at    map[string]int
}

func newMergedRows(width int) *mergedRows {
	return &mergedRows{width: width, at: make(map[string]int)}
}

func (m *mergedRows) add(rows []query.Row) {
	for _, row := range rows {
		if len(row) != m.width || m.width == 0 {
			continue // of another release
		}
		key := row[0].String()
		i, known := m.at[key]
		if !known {
			m.at[key] = len(m.rows)
			m.rows = append(m.rows, row)
			continue
		}
		if knowsMore(row, m.rows[i]) {
			m.rows[i] = row
		}
	}
}

// knowsMore reports whether a's first number that differs is larger than b's.
func knowsMore(a, b query.Row) bool {
	for i := range a {
		if a[i].Type == query.TypeNumber && a[i].Number != b[i].Number {
			return a[i].Number > b[i].Number
		}
	}
	return false
}
