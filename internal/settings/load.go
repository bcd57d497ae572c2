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

// Parse reads settings from JSON, fills in defaults and checks the whole. Its
// error is Faults, with every fault.
func Parse(data []byte) (*Settings, error) {
	out := new(Settings)
	read := new(decoder)
	read.decode(data, out)
	out.fillDefaults()
	faults := append(read.faults, withoutRepeats(out.Check(), read.faults)...)
	if err := faults.asError(); err != nil {
		return nil, err
	}
	return out, nil
}

// withoutRepeats leaves out the faults of settings that could not be read: they would be told a second time as missing.
func withoutRepeats(checked, unread Faults) Faults {
	told := make(map[string]bool, len(unread))
	for _, fault := range unread {
		told[fault.Path] = true
	}
	var out Faults
	for _, fault := range checked {
		if !told[fault.Path] && !told[""] {
			out = append(out, fault)
		}
	}
	return out
}

func (s *Settings) fillDefaults() {
	setDefault(&s.Region, "default")
	setDefault(&s.Host, ident.Host(s.Node))
	setDefault(&s.CallerURL, s.scheme()+s.CallerListen)
	setDefault(&s.PeerAdvertise, s.PeerListen)
	setDefault(&s.Log.Level, "info")
	setDefault(&s.Log.Format, "text")
	setDefault(&s.Limits.MaxBodyBytes, 2<<20)
	setDefault(&s.Limits.MaxHeaderBytes, 16<<10)
	setDefault(&s.Limits.MaxConcurrent, 4096)
	setDefault(&s.Limits.MaxProcessors, 2)
	setDefault(&s.Limits.HeaderTimeoutMs, 5000)
	setDefault(&s.Limits.BodyTimeoutMs, 30000)
	setDefault(&s.Limits.DrainTimeoutMs, 600000)
	setDefault(&s.Limits.AddressKeepMs, 10000)
}

// scheme begins the URLs of the caller listener.
func (s *Settings) scheme() string {
	if s.TLS != nil {
		return "https://"
	}
	return "http://"
}

// setDefault sets *field to value when it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
