package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// BlockBytes is the length of prompt text that one block covers, in bytes.
	BlockBytes = 1024
	// MaxBlocks bounds how many blocks of a prompt are looked at.
	MaxBlocks = 64
)

// Block is the hash of a prompt's prefix that ends at a block's boundary.
// Equal blocks mean equal prefixes, since each hash covers the ones before it.
type Block uint64

// Blocks appends the blocks of prompt to dst and returns it. A last part
// shorter than BlockBytes has no block.
func Blocks(dst []Block, model ident.Model, adapter ident.Adapter, prompt string) []Block {
	link := xxhash.Sum64String(string(model)) ^ xxhash.Sum64String(string(adapter))*31
	var buf [8]byte
	for len(prompt) >= BlockBytes && len(dst) < MaxBlocks {
		binary.LittleEndian.PutUint64(buf[:], link)
		var digest xxhash.Digest
		digest.Reset()
		_, _ = digest.Write(buf[:])
		_, _ = digest.WriteString(prompt[:BlockBytes])
		link = digest.Sum64()
		dst = append(dst, Block(link))
		prompt = prompt[BlockBytes:]
	}
	return dst
}
