package config

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

const (
	// ArchiveKind is the kind of the objects that store the records of changes
	// which were dropped from the site's object.
	ArchiveKind objects.Kind = "changes"
	// archiveBuckets is the number of objects that the archive is divided into, by hash of the change ID.
	archiveBuckets = 1024
	// maxBucketChanges is the maximum number of changes in one object; with IDs of
	// the maximum length they take 0.9 MB.
	maxBucketChanges = 7000
)

// archivedChange is the record of an accepted change in the archive.
type archivedChange struct {
	Change ident.Change `json:"c"`
	Digest uint64       `json:"d"`
	// Version is the configuration version that the change created.
	Version uint64 `json:"v"`
}

// bucket is the spec of one archive object.
type bucket struct {
	Changes []archivedChange `json:"changes"`
	// Evicted is true when older changes were removed to stay within maxBucketChanges.
	Evicted bool `json:"forgot,omitempty"`

	version objects.Version
}

// find returns the record of a change, or nil when the bucket does not contain it.
func (b *bucket) find(change ident.Change) *archivedChange {
	i := slices.IndexFunc(b.Changes, func(c archivedChange) bool { return c.Change == change })
	if i < 0 {
		return nil
	}
	return &b.Changes[i]
}

// withChange returns a copy of the bucket with change appended. A full bucket
// evicts its oldest change.
func (b *bucket) withChange(change archivedChange) *bucket {
	out := &bucket{Changes: append(slices.Clone(b.Changes), change), Evicted: b.Evicted, version: b.version}
	if len(out.Changes) > maxBucketChanges {
		out.Changes, out.Evicted = out.Changes[1:], true
	}
	return out
}

// archive stores the records of all changes that were dropped from the document.
//
// Invariant: a change is archived before a document that drops it is written.
type archive struct {
	store objects.Store
}

// bucketName returns the name of the object that stores the record of a change.
func bucketName(change ident.Change) string {
	return fmt.Sprintf("changes-%03x", xxhash.Sum64String(string(change))%archiveBuckets)
}

// readBucket returns the current content of a bucket; one that does not exist yet is
// empty. A plain read may be stale, so it sends a conditional write that cannot
// succeed, as Manager.readCurrent does.
func (a archive) readBucket(ctx context.Context, name string) (*bucket, error) {
	object, err := encodeBucket(name, &bucket{version: impossibleVersion})
	if err != nil {
		return nil, err
	}
	_, err = a.store.Update(ctx, object)
	if objects.KindOf(err) == objects.KindNotFound {
		return &bucket{}, nil
	}
	current, ok := objects.CurrentOf(err)
	if !ok {
		return nil, err
	}
	return decodeBucket(current)
}

// add stores a change; it is idempotent.
func (a archive) add(ctx context.Context, change archivedChange) error {
	name := bucketName(change.Change)
	b, err := a.readBucket(ctx, name)
	if err != nil {
		return err
	}
	if b.find(change.Change) != nil {
		return nil
	}
	object, err := encodeBucket(name, b.withChange(change))
	if err != nil {
		return err
	}
	if b.version == 0 {
		_, err = a.store.Create(ctx, object)
		return err
	}
	_, err = a.store.Update(ctx, object)
	return err
}

// encodeBucket returns the object to write; its resource version is the one that b was read at.
func encodeBucket(name string, b *bucket) (objects.Object, error) {
	spec, err := json.Marshal(b)
	if err != nil {
		return objects.Object{}, errors.Wrap(err, "archive of changes")
	}
	return objects.Object{Kind: ArchiveKind, Metadata: objects.Metadata{Name: name, ResourceVersion: b.version}, Spec: spec}, nil
}

// decodeBucket decodes an archive object and keeps its resource version for the next write.
func decodeBucket(object objects.Object) (*bucket, error) {
	b := new(bucket)
	if err := json.Unmarshal(object.Spec, b); err != nil {
		return nil, errors.Wrap(err, "archive of changes")
	}
	b.version = object.Metadata.ResourceVersion
	return b, nil
}
