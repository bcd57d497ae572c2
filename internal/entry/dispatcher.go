package entry

import (
	"context"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

// Dispatcher runs requests; dispatch.Dispatcher implements it.
type Dispatcher interface {
	Submit(ctx context.Context, sub dispatch.Submission) (dispatch.Attachment, error)
	Resume(ctx context.Context, res dispatch.Resumption) (dispatch.Attachment, error)
	Fetch(ctx context.Context, id ident.RequestID, workspace ident.Workspace) (*request.Record, error)
	Cancel(ctx context.Context, id ident.RequestID, workspace ident.Workspace) (*request.Record, error)
}
