package dispatch

import (
	"crypto/rand"
	"fmt"
	"strings"

	"mangoledge.example/mangoledge/internal/ident"
)

// generationRandomLength is the length of the random part of a generation name, in characters.
const generationRandomLength = 10

// generationIDLength is the number of trailing characters of the request ID in a
// generation name.
const generationIDLength = 4

// newGeneration returns a unique generation name.
func newGeneration(id ident.RequestID, epoch uint64) ident.Generation {
	random := strings.ToLower(rand.Text()[:generationRandomLength])
	shown := id.Random[len(id.Random)-generationIDLength:]
	return ident.Generation(fmt.Sprintf("g%d-%s-%s", epoch, shown, random))
}
