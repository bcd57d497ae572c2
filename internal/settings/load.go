package settings

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
)

// Load reads settings from the file at path and fills in defaults.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(data)
}

// Parse reads settings from JSON and fills in defaults.
func Parse(data []byte) (*Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	out := new(Settings)
	if err := decoder.Decode(out); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	out.fillDefaults()
	return out, nil
}

func (s *Settings) fillDefaults() {
	setDefault(&s.Region, "default")
	setDefault(&s.Host, ident.Host(s.Node))
	setDefault(&s.CallerURL, "http://"+s.CallerListen)
	setDefault(&s.PeerAdvertise, s.PeerListen)
	setDefault(&s.Log.Level, "info")
	setDefault(&s.Log.Format, "text")
	setDefault(&s.Limits.MaxBodyBytes, 2<<20)
	setDefault(&s.Limits.MaxHeaderBytes, 16<<10)
	setDefault(&s.Limits.MaxConcurrent, 4096)
	setDefault(&s.Limits.HeaderTimeoutMs, 5000)
	setDefault(&s.Limits.BodyTimeoutMs, 30000)
	setDefault(&s.Limits.DrainTimeoutMs, 600000)
	setDefault(&s.Limits.AddressKeepMs, 10000)
}

// setDefault sets *field to value when it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
