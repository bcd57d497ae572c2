package operator

import "encoding/json"

// dumpJSON returns the node's state as indented JSON.
func dumpJSON(dumper Dumper) ([]byte, error) {
	return json.MarshalIndent(dumper.Dump(), "", "  ")
}
