package settings

import (
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

// Parse reads settings from JSON, fills in defaults and checks them. Its error is a
// Faults value that holds every fault found.
func Parse(data []byte) (*Settings, error) {
	out := new(Settings)
	dec := new(decoder)
	dec.decode(data, out)
	out.fillDefaults()
	faults := append(dec.faults, notYetReported(out.Check(), dec.faults)...)
	if err := faults.asError(); err != nil {
		return nil, err
	}
	return out, nil
}

// notYetReported returns checkFaults without those of settings that could not be decoded: these are
// already in decodeFaults and would be reported a second time as missing.
func notYetReported(checkFaults, decodeFaults Faults) Faults {
	reported := make(map[string]bool, len(decodeFaults))
	for _, fault := range decodeFaults {
		reported[fault.Path] = true
	}
	var out Faults
	for _, fault := range checkFaults {
		if !reported[fault.Path] && !reported[""] {
			out = append(out, fault)
		}
	}
	return out
}

// fillDefaults sets the settings that are zero to their defaults.
func (s *Settings) fillDefaults() {
	setDefault(&s.Region, "default")
	setDefault(&s.Host, ident.Host(s.Node))
	setDefault(&s.CallerURL, s.scheme()+s.CallerListen)
	setDefault(&s.PeerAdvertise, s.PeerListen)
	setDefault(&s.Log.Level, "info")
	setDefault(&s.Log.Format, "text")
	setDefault(&s.Limits.MaxBodyBytes, 2<<20)
	setDefault(&s.Limits.MaxHeaderBytes, 16<<10)
	setDefault(&s.Limits.MemoryMB, max(DefaultMemoryMB, memoryNeeded(s.Limits.MaxBodyBytes)))
	setDefault(&s.Limits.MaxConcurrent, 4096)
	setDefault(&s.Limits.MaxProcessors, 2)
	setDefault(&s.Limits.HeaderTimeoutMs, 5000)
	setDefault(&s.Limits.BodyTimeoutMs, 30000)
	setDefault(&s.Limits.DrainTimeoutMs, 600000)
	setDefault(&s.Limits.AddressKeepMs, 10000)
}

// scheme returns the scheme of the caller listener's URLs, with "://".
func (s *Settings) scheme() string {
	if s.TLS != nil {
		return "https://"
	}
	return "http://"
}

// setDefault sets *field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
