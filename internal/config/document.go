package config

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

const (
	// SiteKind is the kind of the object that holds the configuration.
	SiteKind objects.Kind = "sites"
	// SiteName is the name of the one object of that kind.
	SiteName = "site"
	// MaxRecentChanges is how many changes a document keeps; the archive has those before.
	MaxRecentChanges = 256
	// maxWindows is how many times as many it keeps while the archive lacks them.
	maxWindows = 4
	// MaxDocumentBytes is the largest encoded document; the store holds a little more.
	MaxDocumentBytes = 1_000_000
	// maxSummaryBytes is how much of a change's summary is kept.
	maxSummaryBytes = 256
)

// ChangeRecord remembers a change that was accepted.
type ChangeRecord struct {
	Change ident.Change `json:"change"`
	// Base is the version that the change replaced; 0 for the first.
	Base uint64 `json:"base"`
	// Digest is over what was proposed, so that one ID can't stand for two changes.
	Digest uint64 `json:"digest"`
	// Summary says what was changed, in the operators' language.
	Summary string `json:"summary"`
}

// Document is the spec of the configuration's object.
type Document struct {
	Site Site `json:"site"`
	// Recent are the latest changes, oldest first; the last made this version.
	Recent []ChangeRecord `json:"recent"`
	// Dropped is true when earlier changes were dropped from Recent. The archive has them.
	Dropped bool `json:"dropped,omitempty"`
}

// find returns the index of a change in Recent, or -1.
func (d *Document) find(change ident.Change) int {
	return slices.IndexFunc(d.Recent, func(r ChangeRecord) bool { return r.Change == change })
}

// versionOf returns the version that the change at index i of Recent made.
func (d *Document) versionOf(i int) uint64 {
	if i+1 < len(d.Recent) {
		return d.Recent[i+1].Base
	}
	return d.Site.Version
}

// since returns the changes that were made on version base or later ones.
func (d *Document) since(base uint64) []ChangeRecord {
	for i, r := range d.Recent {
		if r.Base >= base {
			return d.Recent[i:]
		}
	}
	return nil
}

// reaches reports whether Recent holds every change made on version base or later ones.
func (d *Document) reaches(base uint64) bool {
	return !d.Dropped || d.Recent[0].Base <= base
}

// archivable returns the change at index i of Recent as the archive keeps it; it is
// not the last one.
func (d *Document) archivable(i int) archivedChange {
	r := d.Recent[i]
	return archivedChange{Change: r.Change, Digest: r.Digest, Version: d.Recent[i+1].Base}
}

// encodeDocument makes the object that replaces version base by d.
func encodeDocument(d *Document, base uint64) (objects.Object, error) {
	spec, err := json.Marshal(d)
	if err != nil {
		return objects.Object{}, errors.Wrap(err, "configuration")
	}
	return objects.Object{
		Kind:     SiteKind,
		Metadata: objects.Metadata{Name: SiteName, ResourceVersion: objects.Version(base)},
		Spec:     spec,
	}, nil
}

// decodeDocument reads an object; the version is the object's.
func decodeDocument(object objects.Object) (*Document, error) {
	d := new(Document)
	if err := json.Unmarshal(object.Spec, d); err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	d.Site.Version = uint64(object.Metadata.ResourceVersion)
	if n := len(d.Recent); n > 0 {
		d.Site.Change = d.Recent[n-1].Change
	}
	return d, nil
}

// NewObject makes the object of a site's first configuration.
func NewObject(site *Site) (objects.Object, error) {
	return encodeDocument(&Document{Site: *site}, 0)
}
