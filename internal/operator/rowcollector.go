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

// maxNodesAsked is the maximum number of nodes that one show command asks.
const maxNodesAsked = 64

// RowCollector collects the rows of tables of which each node keeps its own part.
type RowCollector struct {
	members membership.View
	caller  peer.Caller
	own     *ShowService
}

// NewRowCollector returns a RowCollector that asks this node through own and others through
// caller.
func NewRowCollector(members membership.View, caller peer.Caller, own *ShowService) *RowCollector {
	return &RowCollector{members: members, caller: caller, own: own}
}

// nodeRows is one node's answer to a ShowRequest.
type nodeRows struct {
	node  ident.Node
	reply ShowReply
	err   error
}

// collect returns the rows of all nodes, one for each key, and notes about missing rows.
func (c *RowCollector) collect(ctx context.Context, command string, table *query.Table) ([]query.Row, []string) {
	ctx, cancel := context.WithTimeout(ctx, showTimeout)
	defer cancel()
	members, notAsked := c.nodesToAsk()
	answers := make([]nodeRows, len(members))
	var wait sync.WaitGroup
	for i, member := range members {
		wait.Go(func() { answers[i] = c.askNode(ctx, member, command) })
	}
	wait.Wait()
	var notes []string
	if notAsked > 0 {
		notes = append(notes, fmt.Sprintf("%d nodes were not asked", notAsked))
	}
	rows := newMergedRows(len(table.Columns))
	for i := range answers {
		switch {
		case answers[i].err != nil:
			notes = append(notes, fmt.Sprintf("no rows from %s: %v", answers[i].node, answers[i].err))
		case answers[i].reply.Cut:
			notes = append(notes, fmt.Sprintf("%s told only its first %d rows", answers[i].node, maxRowsPerNode))
		}
		rows.add(answers[i].reply.Rows)
	}
	return rows.rows, notes
}

// nodesToAsk returns the first maxNodesAsked nodes that are not dead and have not left, and
// how many are left out. This node may be among either.
func (c *RowCollector) nodesToAsk() ([]membership.Member, int) {
	var out []membership.Member
	for _, member := range c.members.Members() {
		if member.State != membership.StateDead && member.State != membership.StateLeft {
			out = append(out, member)
		}
	}
	if len(out) <= maxNodesAsked {
		return out, 0
	}
	return out[:maxNodesAsked], len(out) - maxNodesAsked
}

// askNode asks one node for its rows.
func (c *RowCollector) askNode(ctx context.Context, member membership.Member, command string) nodeRows {
	out := nodeRows{node: member.Node}
	args := &ShowRequest{Command: command}
	if member.Incarnation == c.members.Self().Incarnation {
		out.err = c.own.Show(args, &out.reply)
		return out
	}
	out.err = c.caller.Call(ctx, member.PeerAddress, ShowServiceName+".Show", args, &out.reply)
	return out
}

// mergedRows holds the rows of several nodes, one for each key, which is the
// first column. If two nodes have rows with the same key, the one with the larger
// numbers stays: more tokens or more moves mean a later state.
type mergedRows struct {
	// width is the number of columns.
	width int
	rows  []query.Row
	// index gives the place in rows of each key.
	index map[string]int
}

// newMergedRows returns an empty mergedRows for rows of width columns.
func newMergedRows(width int) *mergedRows {
	return &mergedRows{width: width, index: make(map[string]int)}
}

// add merges the rows of one node.
func (m *mergedRows) add(rows []query.Row) {
	for _, row := range rows {
		if len(row) != m.width || m.width == 0 {
			continue // from a node of another release, whose table has other columns
		}
		key := row[0].String()
		i, known := m.index[key]
		if !known {
			m.index[key] = len(m.rows)
			m.rows = append(m.rows, row)
			continue
		}
		if isNewer(row, m.rows[i]) {
			m.rows[i] = row
		}
	}
}

// isNewer reports whether a is larger than b in the first number column in which they differ.
func isNewer(a, b query.Row) bool {
	for i := range a {
		if a[i].Type == query.TypeNumber && a[i].Number != b[i].Number {
			return a[i].Number > b[i].Number
		}
	}
	return false
}
