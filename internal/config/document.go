package config

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

const (
	// SiteKind is the kind of the object that stores the configuration.
	SiteKind objects.Kind = "sites"
	// SiteName is the name of the only object of that kind.
	SiteName = "site"
	// MaxRecentChanges is the default number of changes that a document keeps; earlier ones are archived.
	MaxRecentChanges = 256
	// maxWindowFactor times the window is the number of changes that a document
	// keeps while the oldest are not archived yet.
	maxWindowFactor = 4
	// MaxDocumentBytes is the maximum size of an encoded document; the store's limit is slightly higher.
	MaxDocumentBytes = 1_000_000
	// maxSummaryBytes is the length to which the summary of a change is truncated.
	maxSummaryBytes = 256
)

// ChangeRecord is the record of an accepted change.
type ChangeRecord struct {
	Change ident.Change `json:"change"`
	// Base is the version that the change was applied to; 0 for the first change.
	Base uint64 `json:"base"`
	// Digest is a hash of the proposal, to detect the use of one ID for two different changes.
	Digest uint64 `json:"digest"`
	// Summary is the change as operator commands.
	Summary string `json:"summary"`
}

// Document is the spec of the configuration object.
type Document struct {
	Site Site `json:"site"`
	// Recent are the latest changes, oldest first; the last one created this version.
	Recent []ChangeRecord `json:"recent"`
	// Dropped is true when earlier changes were dropped from Recent. They are in the archive.
	Dropped bool `json:"dropped,omitempty"`
}

// find returns the index of a change in Recent, or -1.
func (d *Document) find(change ident.Change) int {
	return slices.IndexFunc(d.Recent, func(r ChangeRecord) bool { return r.Change == change })
}

// versionOf returns the version that the change at index i of Recent created.
func (d *Document) versionOf(i int) uint64 {
	if i+1 < len(d.Recent) {
		return d.Recent[i+1].Base
	}
	return d.Site.Version
}

// changesSince returns the listed changes that were applied to version base or later.
func (d *Document) changesSince(base uint64) []ChangeRecord {
	for i, r := range d.Recent {
		if r.Base >= base {
			return d.Recent[i:]
		}
	}
	return nil
}

// listsAllSince reports whether Recent contains every change that was applied to version base or later.
func (d *Document) listsAllSince(base uint64) bool {
	return !d.Dropped || d.Recent[0].Base <= base
}

// archivedChangeAt returns the archive record of the change at index i of Recent. It
// must not be the last one, whose version the document does not store.
func (d *Document) archivedChangeAt(i int) archivedChange {
	r := d.Recent[i]
	return archivedChange{Change: r.Change, Digest: r.Digest, Version: d.Recent[i+1].Base}
}

// encodeDocument returns the object whose conditional write replaces version base with d.
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

// decodeDocument decodes an object; the site's version is the resource version of the object.
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

// NewSiteObject returns the object for the initial configuration of a site.
func NewSiteObject(site *Site) (objects.Object, error) {
	return encodeDocument(&Document{Site: *site}, 0)
}
