package cli

import (
	"time"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/callerclient"
)

// resultJSON is the JSON form of a request's result.
type resultJSON struct {
	ID           string             `json:"id"`
	Generation   string             `json:"generation,omitempty"`
	Outcome      string             `json:"outcome"`
	Verdict      string             `json:"verdict"`
	Output       string             `json:"output"`
	Tokens       int                `json:"tokens"`
	Moves        int                `json:"moves"`
	Attempts     int                `json:"attempts"`
	Restarts     int                `json:"restarts"`
	FirstTokenMs float64            `json:"firstTokenMs,omitempty"`
	TotalMs      float64            `json:"totalMs"`
	Refusal      *callerapi.Refusal `json:"refusal,omitempty"`
	Error        string             `json:"error,omitempty"`
}

// resultOf converts a result to its JSON form.
func resultOf(r *callerclient.Result) resultJSON {
	out := resultJSON{
		ID: r.ID, Generation: r.Generation, Outcome: string(r.Outcome), Verdict: r.Verdict.String(),
		Output: r.Output, Tokens: len(r.Tokens), Moves: r.Moves, Attempts: r.Attempts, Restarts: r.Restarts,
		TotalMs: milliseconds(r.Finished.Sub(r.Started)), Refusal: r.Refusal,
	}
	if !r.FirstToken.IsZero() {
		out.FirstTokenMs = milliseconds(r.FirstToken.Sub(r.Started))
	}
	if r.Err != nil {
		out.Error = r.Err.Error()
	}
	return out
}

// milliseconds returns d in milliseconds, to the microsecond.
func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
