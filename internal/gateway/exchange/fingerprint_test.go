package exchange

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/site"
)

func TestQueryDistinguishesContentsOfRequestsWithoutBody(t *testing.T) {
	one := &site.Request{Method: "GET", Host: "h", Target: "/list/x?page=1", Path: "/list/x"}
	two := &site.Request{Method: "GET", Host: "h", Target: "/list/x?page=2", Path: "/list/x"}
	require.NotEqual(t, fingerprintOf(one, "w"), fingerprintOf(two, "w"))
}
