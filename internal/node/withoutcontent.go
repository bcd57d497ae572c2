package node

import (
	"fmt"

	"mangoledge.example/mangoledge/internal/request"
)

// withoutContent returns records that tell everything about requests but what
// callers sent and received, which is not for whoever reads a dump.
func withoutContent(records []request.Record) []request.Record {
	out := make([]request.Record, 0, len(records))
	for i := range records {
		record := records[i]
		record.Spec.Input = fmt.Sprintf("(%d bytes)", len(record.Spec.Input))
		if record.Output != "" {
			record.Output = fmt.Sprintf("(%d bytes)", len(record.Output))
		}
		if len(record.Tokens) > 0 {
			record.Tokens = []string{fmt.Sprintf("(%d tokens)", len(record.Tokens))}
		}
		out = append(out, record)
	}
	return out
}
