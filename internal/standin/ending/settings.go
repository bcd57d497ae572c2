package ending

import (
	"os"
	"strconv"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/settings"
)

// Settings are the shares in which endings are drawn, in percent.
type Settings struct {
	// DrawnPercent is the share of responses whose ending is drawn; the others are ordinary.
	DrawnPercent int `json:"drawnPercent"`
	// CutPercent is the share of the drawn ones that stop before their end.
	CutPercent int `json:"cutPercent"`
	// ResetPercent, OpenPercent and ProcessEndPercent are the shares of the drawn ones after which the
	// connection is reset, stays open, or ends with the whole process.
	ResetPercent      int `json:"resetPercent"`
	OpenPercent       int `json:"openPercent"`
	ProcessEndPercent int `json:"processEndPercent"`
	// OddStatusPercent is the share of the drawn ones whose status is none, such as 000.
	OddStatusPercent int `json:"oddStatusPercent"`
	// EarlyPercent is the share of requests with a long body that are answered before it is read.
	EarlyPercent int `json:"earlyPercent"`
	// Seed determines what is drawn.
	Seed int64 `json:"seed"`
}

// Load reads settings from a JSON file. The error of invalid settings names each path and value.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "endings")
	}
	s := new(Settings)
	faults := append(settings.Decode(data, s), s.check()...)
	if len(faults) > 0 {
		return nil, errors.Wrap(faults, path)
	}
	return s, nil
}

// check returns the settings that are out of range.
func (s *Settings) check() settings.Faults {
	var faults settings.Faults
	for _, share := range []struct {
		path  string
		value int
	}{
		{"drawnPercent", s.DrawnPercent},
		{"cutPercent", s.CutPercent},
		{"resetPercent", s.ResetPercent},
		{"openPercent", s.OpenPercent},
		{"processEndPercent", s.ProcessEndPercent},
		{"oddStatusPercent", s.OddStatusPercent},
		{"earlyPercent", s.EarlyPercent},
	} {
		if share.value < 0 || share.value > 100 {
			faults = append(faults, settings.Fault{Path: share.path, Value: strconv.Itoa(share.value), Allowed: "a whole number from 0 to 100"})
		}
	}
	if sum := s.ResetPercent + s.OpenPercent + s.ProcessEndPercent; len(faults) == 0 && sum > 100 {
		faults = append(faults, settings.Fault{
			Path: "processEndPercent", Value: strconv.Itoa(s.ProcessEndPercent),
			Allowed: "at most 100 together with resetPercent and openPercent; they are " + strconv.Itoa(sum),
		})
	}
	return faults
}
