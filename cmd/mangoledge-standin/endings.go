package main

import (
	"github.com/alecthomas/kingpin/v2"

	"mangoledge.example/mangoledge/internal/standin/ending"
)

// endingsFlag adds the flag with the file of shares in which the endings of responses are drawn.
func endingsFlag(clause *kingpin.CmdClause) *string {
	return clause.Flag("endings", "JSON file with the shares of responses that break off or end oddly; see docs/internals/UPSTREAM-PROTOCOL.md.").String()
}

// loadEndings returns a Drawer with the shares in the file at path, or nil if path is empty.
func loadEndings(path string) (*ending.Drawer, error) {
	if path == "" {
		return nil, nil //nolint:nilnil // a nil Drawer draws no endings
	}
	settings, err := ending.Load(path)
	if err != nil {
		return nil, err
	}
	return ending.NewDrawer(*settings), nil
}
