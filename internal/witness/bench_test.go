package witness

import (
	"context"
	"testing"
	"time"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/request"
)

// BenchmarkRequestAtWitness measures claim, grant and finish of one
// non-idempotent request at another node over loopback.
func BenchmarkRequestAtWitness(b *testing.B) {
	c := &cluster{members: make(map[ident.Incarnation]membership.Member)}
	asker, witnessNode := startNode(b, c, "n0"), startNode(b, c, "n1")
	self := asker.member.Incarnation
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := ident.NewRequestID(self, witnessNode.member.Incarnation)
			if err := benchRequest(asker, id); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

func benchRequest(n *testNode, id ident.RequestID) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	self := n.member.Incarnation
	if _, err := n.client.Claim(ctx, &grant.ClaimRequest{ID: id, Holder: self, Spec: newSpec(id, "dock 4")}); err != nil {
		return err
	}
	if _, err := n.client.Grant(ctx, &grant.Request{ID: id, Holder: self, Epoch: 1}); err != nil {
		return err
	}
	_, err := n.client.Finish(ctx, &grant.FinishRequest{ID: id, Holder: self, Epoch: 1, Record: request.Record{Phase: request.PhaseDone, Output: "held"}})
	return err
}

// BenchmarkHandOver measures the hand-over of a table of 2,000 requests with
// inputs of 2 KB to another node over loopback.
func BenchmarkHandOver(b *testing.B) {
	const requests = 2000
	input := string(make([]byte, 2<<10))
	for range b.N {
		b.StopTimer()
		c := &cluster{members: make(map[ident.Incarnation]membership.Member)}
		old, next := startNode(b, c, "n0"), startNode(b, c, "n1")
		self := old.member.Incarnation
		for range requests {
			id := ident.NewRequestID(self, self)
			if _, err := old.client.Claim(context.Background(), &grant.ClaimRequest{ID: id, Holder: self, Spec: newSpec(id, input)}); err != nil {
				b.Fatal(err)
			}
		}
		b.StartTimer()
		if err := old.service.HandOver(context.Background(), next.member); err != nil {
			b.Fatal(err)
		}
		b.StopTimer()
		old.stop()
		next.stop()
	}
}
