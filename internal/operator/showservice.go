package operator

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/query"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// ShowServiceName is the net/rpc name of ShowService.
	ShowServiceName = "Show"
	// maxRowsPerNode is the maximum number of rows in a ShowReply.
	maxRowsPerNode = 500
	// showTimeout limits the time that one node may take to return its rows.
	showTimeout = time.Second
)

// ShowRequest asks a node for its own rows of a table.
type ShowRequest struct {
	// Command is the whole show command, so that the node sends only the rows it selects.
	Command string
}

// ShowReply answers a ShowRequest.
type ShowReply struct {
	Rows []query.Row
	// Cut is true if the node had more than maxRowsPerNode rows.
	Cut bool
}

// ShowService returns this node's rows to other nodes, which call it by net/rpc.
type ShowService struct {
	schema query.Schema
	tables Tables
}

// NewShowService returns a ShowService for the rows of tables.
func NewShowService(schema query.Schema, tables Tables) *ShowService {
	return &ShowService{schema: schema, tables: tables}
}

// Show runs the show command of a ShowRequest on this node's rows.
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
	reply.Cut = len(rows) > maxRowsPerNode
	reply.Rows = rows[:min(len(rows), maxRowsPerNode)]
	return nil
}
