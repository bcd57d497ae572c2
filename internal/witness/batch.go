package witness

import (
	"context"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
)

// ProgressBatch applies the reports of a batch one by one; see grant.Table.Progress.
func (s *Service) ProgressBatch(ctx context.Context, req *grant.ProgressBatch) (grant.ProgressBatchReply, error) {
	out := grant.ProgressBatchReply{Answers: make([]grant.ProgressAnswer, len(req.Reports))}
	for i := range req.Reports {
		update, err := s.Progress(ctx, &req.Reports[i])
		out.Answers[i] = grant.ProgressAnswer{Answered: err == nil, Update: update}
	}
	return out, nil
}

// ProgressBatch reports the progress of several requests to their common witness.
func (c *Client) ProgressBatch(ctx context.Context, witness ident.Incarnation, reports []grant.ProgressRequest) ([]grant.ProgressAnswer, error) {
	reply, err := callWitness(ctx, c, witness, "ProgressBatch", &grant.ProgressBatch{Reports: reports}, c.local.ProgressBatch)
	return reply.Answers, err
}

// ProgressBatch serves a batch of progress reports from another node.
func (e *endpoint) ProgressBatch(req *grant.ProgressBatch, reply *grant.ProgressBatchReply) error {
	return serveRPC(req, reply, e.service.ProgressBatch)
}
