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
	// ArchiveKind is the kind of the objects that remember the changes which the
	// site's object has dropped.
	ArchiveKind objects.Kind = "changes"
	// archiveBuckets is over how many objects the archive is spread, by hash of the ID.
	archiveBuckets = 1024
	// maxBucketChanges is how many changes one object remembers; with the longest
	// IDs they take 0.9 MB.
	maxBucketChanges = 7000
)

// archivedChange remembers a change that was accepted and dropped from the document.
type archivedChange struct {
	Change ident.Change `json:"c"`
	Digest uint64       `json:"d"`
	// Version is the version that the change made.
	Version uint64 `json:"v"`
}

// bucket is the spec of one object of the archive.
type bucket struct {
	Changes []archivedChange `json:"changes"`
	// Forgot is true when older changes were there and are not any more.
	Forgot bool `json:"forgot,omitempty"`

	version objects.Version
}

// find returns a change of the bucket, or nil.
func (b *bucket) find(change ident.Change) *archivedChange {
	i := slices.IndexFunc(b.Changes, func(c archivedChange) bool { return c.Change == change })
	if i < 0 {
		return nil
	}
	return &b.Changes[i]
}

// with returns the bucket with one change more; a full one forgets its oldest.
func (b *bucket) with(change archivedChange) *bucket {
	out := &bucket{Changes: append(slices.Clone(b.Changes), change), Forgot: b.Forgot, version: b.version}
	if len(out.Changes) > maxBucketChanges {
		out.Changes, out.Forgot = out.Changes[1:], true
	}
	return out
}

// archive remembers every change that the document has dropped.
//
// Invariant: a change is in the archive before a document without it is written.
type archive struct {
	store objects.Store
}

// bucketOf returns the name of the object that remembers a change.
func bucketOf(change ident.Change) string {
	return fmt.Sprintf("changes-%03x", xxhash.Sum64String(string(change))%archiveBuckets)
}

// read returns a bucket as the store has it now, which a plain read need not: like
// Manager.readCurrent it makes a conditional write that can't take effect.
func (a archive) read(ctx context.Context, name string) (*bucket, error) {
	object, err := encodeBucket(name, &bucket{version: impossibleVersion})
	if err != nil {
		return nil, err
	}
	_, err = a.store.Update(ctx, object)
	if objects.KindOf(err) == objects.KindNotFound {
		return &bucket{}, nil
	}
	current, told := objects.CurrentOf(err)
	if !told {
		return nil, err
	}
	return decodeBucket(current)
}

// add remembers a change; adding it again changes nothing.
func (a archive) add(ctx context.Context, change archivedChange) error {
	name := bucketOf(change.Change)
	b, err := a.read(ctx, name)
	if err != nil {
		return err
	}
	if b.find(change.Change) != nil {
		return nil
	}
	object, err := encodeBucket(name, b.with(change))
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

func encodeBucket(name string, b *bucket) (objects.Object, error) {
	spec, err := json.Marshal(b)
	if err != nil {
		return objects.Object{}, errors.Wrap(err, "archive of changes")
	}
	return objects.Object{Kind: ArchiveKind, Metadata: objects.Metadata{Name: name, ResourceVersion: b.version}, Spec: spec}, nil
}

func decodeBucket(object objects.Object) (*bucket, error) {
	b := new(bucket)
	if err := json.Unmarshal(object.Spec, b); err != nil {
		return nil, errors.Wrap(err, "archive of changes")
	}
	b.version = object.Metadata.ResourceVersion
	return b, nil
}
