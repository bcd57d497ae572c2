package operator

import (
	"net/http"

	"github.com/rcrowley/go-metrics"

	"mangoledge.example/mangoledge/internal/auth"
	shown "mangoledge.example/mangoledge/internal/metrics"
)

// NewMux returns everything that the operator listener serves: the operator API,
// which asks for an operator's token, and GET /metrics, which asks for none and
// holds no secret.
func NewMux(runner *Runner, tokens *auth.Tokens, registry metrics.Registry) (http.Handler, error) {
	api, err := NewHandler(runner, tokens)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", api)
	mux.Handle("GET /metrics", shown.Handler(registry))
	return mux, nil
}
