package node

import (
	"fmt"

	"mangoledge.example/mangoledge/internal/request"
)

// withoutContent returns copies of records with the content that callers sent and
// received replaced by its size, because readers of a dump must not see it.
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
