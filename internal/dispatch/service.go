package dispatch

import (
	"context"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/request"
)

// serviceName is the RPC name of Service.
const serviceName = "Dispatch"

// Service is the RPC service for other nodes' calls about requests held by this node.
type Service struct {
	dispatcher *Dispatcher
}

// RecordArgs identifies a request of a workspace.
type RecordArgs struct {
	ID        ident.RequestID
	Workspace ident.Workspace
}

// RecordReply contains a request's record.
type RecordReply struct {
	Record request.Record
}

// Fetch returns the record of a request held by this node.
func (s *Service) Fetch(args *RecordArgs, reply *RecordReply) error {
	e, ok := s.dispatcher.table.get(args.ID)
	if !ok || e.spec.Workspace != args.Workspace || e.isReleased() {
		return peer.EncodeError(errUnknown())
	}
	reply.Record = e.snapshot()
	return nil
}

// Cancel cancels a request held by this node.
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
