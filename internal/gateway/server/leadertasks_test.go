package server

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/balance"
	"mangoledge.example/mangoledge/internal/gateway/catalog"
	"mangoledge.example/mangoledge/internal/gateway/scaling"
	"mangoledge.example/mangoledge/internal/gateway/site"
)

func TestScalingCountExcludesLeavingAndLongQuietUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	g := &Gateway{balancer: balance.New("a", balance.MaxParts(0), func() time.Time { return now }, rand.Float64)}
	var list []site.Upstream
	for _, u := range testUpstreams(4) {
		u.FailureDomain = "a"
		list = append(list, u)
	}
	g.balancer.MarkLeaving(list[0])
	g.balancer.MarkQuiet(list[1], 6*time.Second)
	g.balancer.MarkQuiet(list[2], 4*time.Second)
	d := scaling.Domain{Name: "a"}
	service := site.Service{Name: "plain", Scaling: &site.Scaling{BootTime: 5 * time.Second}}
	g.countUpstreams(&d, &catalog.View{ByService: map[string][]site.Upstream{"plain": list}}, service)
	require.Equal(t, 2, d.OnDemand)
}
