package node

import (
	"encoding/json"
	"net/http"
	"time"

	"mangoledge.example/mangoledge/internal/auth"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/witness"
)

// operatorHeaderTimeout bounds how long an operator's program may take to send its header.
const operatorHeaderTimeout = 5 * time.Second

// dump is the whole state of a node, without secrets.
type dump struct {
	Self     membership.Member   `json:"self"`
	Members  []membership.Member `json:"members"`
	Requests []request.Record    `json:"requests"`
	Witness  []witness.Stat      `json:"witness"`
}

// newOperatorServer serves operators.
func newOperatorServer(n *Node, tokens *auth.Tokens) (*http.Server, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/dump", func(w http.ResponseWriter, r *http.Request) {
		if _, refusal := tokens.Require(auth.Bearer(r), settings.RoleOperator); refusal != nil {
			http.Error(w, refusal.Message, http.StatusUnauthorized)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(dump{
			Self:     n.members.Self(),
			Members:  n.members.Members(),
			Requests: n.dispatcher.Records(),
			Witness:  n.witness.Stats(),
		})
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: operatorHeaderTimeout}, nil
}
