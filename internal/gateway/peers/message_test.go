package peers

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

func TestDecodeDoesNotAllocateForFalseLengths(t *testing.T) {
	const maxAllocated = 16 << 20 // half of the memory that a node may use for control
	for _, field := range []string{"q", "o", "u", "x", "m", "t", "f"} {
		for name, claim := range map[string][]byte{
			"list": {0xdd, 0x7f, 0xff, 0xff, 0xff}, "map": {0xdf, 0x7f, 0xff, 0xff, 0xff}, "text": {0xdb, 0x7f, 0xff, 0xff, 0xff},
		} {
			head, err := msgpack.Marshal(map[string]string{"n": "node"})
			require.NoError(t, err)
			head[0]++ // announce one more entry
			data := append(append(head, 0xa1, field[0]), claim...)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err = decodeMessage(data)
			runtime.ReadMemStats(&after)
			require.Error(t, err, "false length of a %s in field %s", name, field)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated), "bytes allocated for a false length of a %s in field %s", name, field)
		}
	}
}
