package membership

import (
	"bytes"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// digestBuckets is the number of buckets that records and rumours are divided into for
	// a sync.
	digestBuckets = 128
	// bucketBytes is the length of one bucket's hash.
	bucketBytes = 4
	// digestBytes is the length of a whole digest.
	digestBytes = digestBuckets * bucketBytes
	// maxSyncDatagrams is the most datagrams with differing items that are sent in answer
	// to one digest.
	maxSyncDatagrams = 8
	// minSendTTL is the least remaining TTL with which an item is still sent and counted
	// in the digest.
	minSendTTL = 5 * time.Second
)

// digest holds a hash of bucketBytes bytes for each bucket. Two nodes with the same items
// have equal digests.
type digest []byte

// differingBuckets returns the buckets in which d and other differ.
func (d digest) differingBuckets(other digest) []int {
	var out []int
	for i := range digestBuckets {
		if !bytes.Equal(d.bucket(i), other.bucket(i)) {
			out = append(out, i)
		}
	}
	return out
}

// bucket returns the bytes of bucket i, or none when the digest is empty.
func (d digest) bucket(i int) []byte {
	if len(d) < digestBytes {
		return nil
	}
	return d[i*bucketBytes : (i+1)*bucketBytes]
}

// toggle XORs hash into bucket i, which adds an item's hash or removes it again.
func (d digest) toggle(i int, hash uint64) {
	part := d.bucket(i)
	binary.BigEndian.PutUint32(part, binary.BigEndian.Uint32(part)^uint32(hash))
}

func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % digestBuckets)
}

func (r record) bucket() int {
	return bucketOf(string(r.Incarnation))
}

func (n rumourID) bucket() int {
	return bucketOf(string(n.topic) + "/" + n.key)
}

// digest returns the digest of all records and rumours that are still sent.
func (c *core) digest(now time.Time) digest {
	out := make(digest, digestBytes)
	for _, e := range c.table.entries {
		if sendable(e, now) {
			out.toggle(e.digestBucket, e.digestHash)
		}
	}
	for _, stored := range c.rumours.entries {
		if stored.expireAt.Sub(now) >= minSendTTL {
			out.toggle(stored.bucket, stored.digestHash)
		}
	}
	return out
}

// sendable reports whether the entry is still sent to others: it has not ended, or its
// remaining TTL is long enough.
func sendable(e *entry, now time.Time) bool {
	return e.Final == finalNone || e.remaining(now) >= minSendTTL
}

// itemsIn returns the encoded items of the given buckets, bucket after bucket, so that a
// receiver that gets only the first datagrams has complete buckets.
func (c *core) itemsIn(now time.Time, buckets []int) [][]byte {
	wanted := make(map[int][][]byte, len(buckets))
	for _, b := range buckets {
		wanted[b] = nil
	}
	add := func(bucket int, encoded func() []byte) {
		if items, ok := wanted[bucket]; ok {
			wanted[bucket] = append(items, encoded())
		}
	}
	for _, e := range c.table.entries {
		if sendable(e, now) {
			add(e.digestBucket, func() []byte { return encodeRecord(e.record, e.remaining(now)) })
		}
	}
	for _, stored := range c.rumours.entries {
		if ttl := stored.expireAt.Sub(now); ttl >= minSendTTL {
			add(stored.bucket, func() []byte { return encodeRumour(stored.Rumour, ttl) })
		}
	}
	var out [][]byte
	for _, b := range buckets {
		slices.SortFunc(wanted[b], bytes.Compare)
		out = append(out, wanted[b]...)
	}
	return out
}

func encodeRecord(r record, ttl time.Duration) []byte {
	return encode((&item{Record: &r, TTLMillis: uint32(ttl.Milliseconds())}).write)
}

func encodeRumour(r Rumour, ttl time.Duration) []byte {
	return encode((&item{Rumour: &r, TTLMillis: uint32(ttl.Milliseconds())}).write)
}
