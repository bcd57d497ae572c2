package operator

import (
	"net/http"

	"github.com/rcrowley/go-metrics"

	"mangoledge.example/mangoledge/internal/auth"
	projectmetrics "mangoledge.example/mangoledge/internal/metrics"
)

// NewMux returns the handler of the operator listener: the operator API, which
// requires an operator's token, and GET /metrics, which requires none and holds
// no secret.
func NewMux(runner *Runner, tokens *auth.Tokens, registry metrics.Registry) (http.Handler, error) {
	api, err := NewHandler(runner, tokens)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", api)
	mux.Handle("GET /metrics", projectmetrics.Handler(registry))
	return mux, nil
}
