package grant

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

// benchInput is a prompt of the size of a typical chat request.
var benchInput = strings.Repeat("word ", 400)

func benchID(i int) ident.RequestID {
	return ident.RequestID{Home: home, Witness: witness, Random: fmt.Sprintf("bench%015d", i)}
}

// benchRequest claims, grants and finishes one request.
func benchRequest(b *testing.B, t *Table, i int) {
	id := benchID(i)
	s := &request.Spec{ID: id, Workspace: "w", Kind: "dock-hold", Input: benchInput, Deadline: deadline}
	if r, err := t.Claim(&ClaimRequest{ID: id, Holder: home, Spec: s}); err != nil || !r.Claimed {
		b.Fatal("not claimed")
	}
	if r, err := t.Grant(&Request{ID: id, Holder: home, Epoch: 1}); err != nil || !r.Granted {
		b.Fatal("not granted")
	}
	r, err := t.Finish(&FinishRequest{ID: id, Holder: home, Epoch: 1, Record: request.Record{Phase: request.PhaseDone, Output: "held"}})
	if err != nil || !r.Applied {
		b.Fatal("not finished")
	}
}

// BenchmarkClaimGrantFinish measures the time of the table for one non-idempotent request.
func BenchmarkClaimGrantFinish(b *testing.B) {
	t := NewTable(b.N + 1)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		benchRequest(b, t, i)
	}
}

// BenchmarkBytesPerRecord measures the memory of a finished record without its
// input, and of the fingerprint of an expired request.
func BenchmarkBytesPerRecord(b *testing.B) {
	const count = 100_000
	for range b.N {
		before := heapBytes()
		t := NewTable(count + 1)
		for i := range count {
			benchRequest(b, t, i)
		}
		records := heapBytes()
		t.Expire(deadline.Add(time.Hour), 0)
		t.entries = nil
		spent := heapBytes()
		b.ReportMetric(float64(records-before)/count, "B/record")
		b.ReportMetric(float64(spent-before)/count, "B/expired")
		runtime.KeepAlive(t)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
