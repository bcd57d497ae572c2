package dispatch

import (
	"crypto/rand"
	"fmt"
	"strings"

	"mangoledge.example/mangoledge/internal/ident"
)

// generationRandomLength is the length of the random part of a generation's name, in characters.
const generationRandomLength = 10

// generationIDLength is how many of the last characters of the request's ID the name shows.
const generationIDLength = 4

// newGeneration makes a name that no other generation has.
func newGeneration(id ident.RequestID, epoch uint64) ident.Generation {
	random := strings.ToLower(rand.Text()[:generationRandomLength])
	shown := id.Random[len(id.Random)-generationIDLength:]
	return ident.Generation(fmt.Sprintf("g%d-%s-%s", epoch, shown, random))
}
