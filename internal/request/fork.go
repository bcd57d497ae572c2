package request

import "mangoledge.example/mangoledge/internal/ident"

// Fork records that a later generation shares its first Offset tokens with Generation.
type Fork struct {
	Generation ident.Generation
	Offset     int
}
