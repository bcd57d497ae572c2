package operator

import "encoding/json"

func dumpText(dumper Dumper) ([]byte, error) {
	return json.MarshalIndent(dumper.Dump(), "", "  ")
}
