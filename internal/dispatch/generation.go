package dispatch

import (
	"crypto/rand"
	"fmt"
	"strings"

	"mangoledge.example/mangoledge/internal/ident"
)

// generationRandomLength is the length of the random part of a generation's name, in characters.
const generationRandomLength = 10

// newGeneration makes a name that no other generation has.
func newGeneration(id ident.RequestID, epoch uint64) ident.Generation {
	random := strings.ToLower(rand.Text()[:generationRandomLength])
	return ident.Generation(fmt.Sprintf("g%d-%s-%s", epoch, id.Random[:4], random))
}
