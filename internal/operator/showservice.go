package operator

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/query"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// ShowServiceName is the name under which nodes offer ShowService to each other.
	ShowServiceName = "Show"
	// maxRowsFromNode is the most rows that one node tells another.
	maxRowsFromNode = 500
	// showTimeout is how long one node may take to tell its rows.
	showTimeout = time.Second
)

// ShowRequest asks a node for its rows of a table that each node keeps for itself.
type ShowRequest struct {
	// Command is the show command, so that the node sends only what was asked for.
	Command string
}

// ShowReply answers a ShowRequest.
type ShowReply struct {
	Rows []query.Row
	// Cut is true when there were more rows than a node tells.
	Cut bool
}

// ShowService tells this node's rows to others by net/rpc.
type ShowService struct {
	schema query.Schema
	tables Tables
}

// NewShowService returns the service of tables.
func NewShowService(schema query.Schema, tables Tables) *ShowService {
	return &ShowService{schema: schema, tables: tables}
}

// Show answers a ShowRequest.
func (s *ShowService) Show(args *ShowRequest, reply *ShowReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), showTimeout)
	defer cancel()
	command, err := query.Parse(args.Command, s.schema)
	if err != nil || command.Show == nil {
		return peer.EncodeError(verdict.New(verdict.NotRun, verdict.CodeBadInput, "this node does not understand the command"))
	}
	table, _ := s.schema.Table(command.Show.Table.Text)
	rows, err := s.tables.Rows(ctx, table.Name)
	if err != nil {
		return peer.EncodeError(err)
	}
	rows = query.Select(command.Show, table, rows)
	reply.Cut = len(rows) > maxRowsFromNode
	reply.Rows = rows[:min(len(rows), maxRowsFromNode)]
	return nil
}
