package request

import (
	"runtime"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"
)

func TestPackTokensRoundTrip(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("unpacking returns the packed tokens", prop.ForAll(func(tokens []string) bool {
		packed := PackTokens(tokens)
		back := packed.Tokens()
		if packed.Len() != len(tokens) || len(back) != len(tokens) {
			return false
		}
		for i := range tokens {
			if back[i] != tokens[i] {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.OneGenOf(gen.AnyString(), gen.Const(""), gen.Const(strings.Repeat("long", 100))))))
	properties.TestingRun(t)
	require.Nil(t, PackTokens(nil).Tokens())
	require.Nil(t, PackedTokens{}.Tokens())
}

// sampleAnswer returns 335 tokens, each in its own allocation.
func sampleAnswer() []string {
	out := make([]string, 335)
	for i := range out {
		out[i] = strings.Clone("tokn")
	}
	return out
}

// BenchmarkPackTokens measures the packing of an answer, and reports the memory of
// an answer before and after it.
func BenchmarkPackTokens(b *testing.B) {
	const count = 5000
	before := heapBytes()
	plain := make([][]string, count)
	for i := range plain {
		plain[i] = sampleAnswer()
	}
	unpacked := heapBytes() - before
	packed := make([]PackedTokens, count)
	for i := range packed {
		packed[i] = PackTokens(plain[i])
	}
	clear(plain)
	kept := heapBytes() - before
	runtime.KeepAlive(packed)
	one := sampleAnswer()
	for b.Loop() {
		_ = PackTokens(one)
	}
	b.ReportMetric(float64(unpacked)/count, "B/plain")
	b.ReportMetric(float64(kept)/count, "B/packed")
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
