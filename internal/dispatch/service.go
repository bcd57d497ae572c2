package dispatch

import (
	"context"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/request"
)

// serviceName is the name that Service is registered under.
const serviceName = "Dispatch"

// Service answers other nodes about the requests of this one.
type Service struct {
	dispatcher *Dispatcher
}

// RecordArgs names a request of a workspace.
type RecordArgs struct {
	ID        ident.RequestID
	Workspace ident.Workspace
}

// RecordReply carries a record.
type RecordReply struct {
	Record request.Record
}

// Fetch returns a record that this node holds.
func (s *Service) Fetch(args *RecordArgs, reply *RecordReply) error {
	e, ok := s.dispatcher.table.get(args.ID)
	if !ok || e.spec.Workspace != args.Workspace || e.isReleased() {
		return peer.EncodeError(errUnknown())
	}
	reply.Record = e.snapshot()
	return nil
}

// Cancel ends a request that this node holds.
func (s *Service) Cancel(args *RecordArgs, reply *RecordReply) error {
	e, ok := s.dispatcher.table.get(args.ID)
	if !ok || e.spec.Workspace != args.Workspace || e.isReleased() {
		return peer.EncodeError(errUnknown())
	}
	s.dispatcher.cancelEntry(e)
	reply.Record = e.snapshot()
	return nil
}

func (d *Dispatcher) callFetch(ctx context.Context, address string, id ident.RequestID, workspace ident.Workspace) (*request.Record, error) {
	return d.callRecord(ctx, address, serviceName+".Fetch", id, workspace)
}

func (d *Dispatcher) callCancel(ctx context.Context, address string, id ident.RequestID, workspace ident.Workspace) (*request.Record, error) {
	return d.callRecord(ctx, address, serviceName+".Cancel", id, workspace)
}

func (d *Dispatcher) callRecord(ctx context.Context, address, method string, id ident.RequestID, workspace ident.Workspace) (*request.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	reply := new(RecordReply)
	if err := d.options.Peers.Call(ctx, address, method, &RecordArgs{ID: id, Workspace: workspace}, reply); err != nil {
		return nil, err
	}
	return &reply.Record, nil
}
