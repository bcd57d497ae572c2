package membership

import (
	"bytes"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// digestBuckets is the number of parts that everything known is compared by.
	digestBuckets = 128
	// bucketBytes is the length of a bucket's part of a digest.
	bucketBytes = 4
	// digestBytes is the length of a digest.
	digestBytes = digestBuckets * bucketBytes
	// syncDatagrams is the most datagrams that one comparison is answered with.
	syncDatagrams = 8
	// minSentLife is the least remaining life of what is still passed on.
	minSentLife = 5 * time.Second
)

// digest has bucketBytes bytes for each bucket, which two nodes share when they know the same.
type digest []byte

// differing returns the buckets in which d and other differ.
func (d digest) differing(other digest) []int {
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

// toggle adds a hash to bucket i, or takes it out again.
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

func (n rumourName) bucket() int {
	return bucketOf(string(n.topic) + "/" + n.key)
}

// digest sums up all that is known and still passed on.
func (c *core) digest(now time.Time) digest {
	out := make(digest, digestBytes)
	for _, e := range c.table.entries {
		if sendable(e, now) {
			out.toggle(e.place, e.sum)
		}
	}
	for _, held := range c.rumours.held {
		if held.expireAt.Sub(now) >= minSentLife {
			out.toggle(held.bucket, held.sum)
		}
	}
	return out
}

func sendable(e *entry, now time.Time) bool {
	return e.Final == finalNone || e.remaining(now) >= minSentLife
}

// itemsIn returns the encoded items of the buckets, one bucket after another, so
// that the first ones that are taken over become equal as a whole.
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
			add(e.place, func() []byte { return encodeRecord(e.record, e.remaining(now)) })
		}
	}
	for _, held := range c.rumours.held {
		if life := held.expireAt.Sub(now); life >= minSentLife {
			add(held.bucket, func() []byte { return encodeRumour(held.Rumour, life) })
		}
	}
	var out [][]byte
	for _, b := range buckets {
		slices.SortFunc(wanted[b], bytes.Compare)
		out = append(out, wanted[b]...)
	}
	return out
}

func encodeRecord(r record, life time.Duration) []byte {
	return encode((&item{Record: &r, LifeMs: uint32(life.Milliseconds())}).write)
}

func encodeRumour(r Rumour, life time.Duration) []byte {
	return encode((&item{Rumour: &r, LifeMs: uint32(life.Milliseconds())}).write)
}
