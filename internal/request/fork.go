package request

import "mangoledge.example/mangoledge/internal/ident"

// Fork says that a later generation shares the first Offset tokens with Generation.
type Fork struct {
	Generation ident.Generation
	Offset     int
}
