package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// BlockBytes is the number of bytes of prompt text covered by one block.
	BlockBytes = 1024
	// MaxBlocks limits how many leading blocks of a prompt are considered.
	MaxBlocks = 64
)

// Block is the hash of a prompt prefix that ends at a block boundary. Each hash
// includes the preceding one, so equal blocks mean equal prefixes.
type Block uint64

// Blocks appends the blocks of prompt to dst and returns the extended slice. A
// trailing part shorter than BlockBytes yields no block.
func Blocks(dst []Block, model ident.Model, adapter ident.Adapter, prompt string) []Block {
	hash := xxhash.Sum64String(string(model)) ^ xxhash.Sum64String(string(adapter))*31
	var buf [8]byte
	for len(prompt) >= BlockBytes && len(dst) < MaxBlocks {
		binary.LittleEndian.PutUint64(buf[:], hash)
		var digest xxhash.Digest
		digest.Reset()
		_, _ = digest.Write(buf[:])
		_, _ = digest.WriteString(prompt[:BlockBytes])
		hash = digest.Sum64()
		dst = append(dst, Block(hash))
		prompt = prompt[BlockBytes:]
	}
	return dst
}
