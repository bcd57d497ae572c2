package membership

import (
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	propertySeed = 7
	propertyRuns = 400
)

// incarnationN returns the nth incarnation of a node.
func incarnationN(node string, n int) ident.Incarnation {
	return ident.NewIncarnation(ident.Node(node), time.Unix(int64(1_700_000_000+n), 0))
}

// genRecord generates records for three incarnations of each of two nodes.
func genRecord() gopter.Gen {
	incarnations := []any{}
	for n := range 3 {
		incarnations = append(incarnations, incarnationN("n1", n), incarnationN("n2", n))
	}
	return gopter.CombineGens(
		gen.OneConstOf(incarnations...), gen.UInt32Range(0, 3), gen.Bool(), gen.Bool(),
		gen.UInt8Range(0, 2), gen.Bool(),
	).Map(func(v []any) record {
		r := record{
			Incarnation: v[0].(ident.Incarnation),
			Refutation:  v[1].(uint32),
			Suspected:   v[2].(bool),
			Draining:    v[3].(bool),
			Final:       finality(v[4].(uint8)),
		}
		if v[5].(bool) {
			r.Details = details{PeerAddress: "127.0.0.1:1", Region: "r1"}
		}
		return r
	})
}

func newProperties(t *testing.T) *gopter.Properties {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = propertyRuns
	parameters.Rng = rand.New(rand.NewSource(propertySeed))
	p := gopter.NewProperties(parameters)
	t.Cleanup(func() { p.TestingRun(t) })
	return p
}

func mergeAll(records []record) map[ident.Incarnation]record {
	table := newTable(time.Hour)
	for _, r := range records {
		table.merge(time.Unix(0, 0), r, 0)
	}
	out := make(map[ident.Incarnation]record)
	for incarnation, e := range table.entries {
		out[incarnation] = e.record
	}
	return out
}

func TestMergeIsASemilattice(t *testing.T) {
	p := newProperties(t)
	same := func(r record) record {
		r.Incarnation = "n1_0000000000000000"
		return r
	}
	p.Property("commutative", prop.ForAll(func(a, b record) bool {
		return same(a).merge(same(b)) == same(b).merge(same(a))
	}, genRecord(), genRecord()))
	p.Property("idempotent", prop.ForAll(func(a, b record) bool {
		ab := same(a).merge(same(b))
		return ab.merge(same(a)) == ab && ab.merge(same(b)) == ab && ab.merge(ab) == ab
	}, genRecord(), genRecord()))
	p.Property("associative", prop.ForAll(func(a, b, c record) bool {
		return same(a).merge(same(b)).merge(same(c)) == same(a).merge(same(b).merge(same(c)))
	}, genRecord(), genRecord(), genRecord()))
}

func TestTableDoesNotDependOnOrder(t *testing.T) {
	p := newProperties(t)
	p.Property("table is independent of order and repetition", prop.ForAll(
		func(records []record, seed int64) bool {
			shuffled := append(append([]record(nil), records...), records...)
			rand.New(rand.NewSource(seed)).Shuffle(len(shuffled), func(i, j int) {
				shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
			})
			a, b := mergeAll(records), mergeAll(shuffled)
			for incarnation := range a {
				if a[incarnation] != b[incarnation] {
					return false
				}
			}
			return len(a) == len(b)
		}, gen.SliceOf(genRecord()), gen.Int64()))
}

func TestStatesOnlyIncrease(t *testing.T) {
	p := newProperties(t)
	p.Property("states only increase, except when a suspicion is refuted", prop.ForAll(
		func(records []record) bool {
			table := newTable(time.Hour)
			for _, r := range records {
				for _, ch := range table.merge(time.Unix(0, 0), r, 0) {
					after := ch.current.state()
					refuted := ch.before == StateSuspect && after == StateAlive
					if !ch.isNew && after < ch.before && !refuted {
						return false
					}
				}
			}
			return true
		}, gen.SliceOf(genRecord())))
	p.Property("ended incarnations stay ended", prop.ForAll(
		func(records []record, more []record) bool {
			before := mergeAll(records)
			after := mergeAll(append(append([]record(nil), records...), more...))
			for incarnation, r := range before {
				if r.Final != finalNone && after[incarnation].Final < r.Final {
					return false
				}
			}
			return true
		}, gen.SliceOf(genRecord()), gen.SliceOf(genRecord())))
	p.Property("each node has at most one incarnation that has not ended", prop.ForAll(
		func(records []record) bool {
			live := map[ident.Node]int{}
			for _, r := range mergeAll(records) {
				if r.Final == finalNone {
					live[r.Incarnation.Node()]++
				}
			}
			return live["n1"] <= 1 && live["n2"] <= 1
		}, gen.SliceOf(genRecord())))
}

func TestEndedMembersAreKeptForRetentionTime(t *testing.T) {
	table := newTable(time.Hour)
	now := time.Unix(0, 0)
	dead := record{Incarnation: incarnationN("n1", 0), Final: finalLeft, Successor: incarnationN("n2", 0)}
	table.merge(now, dead, 0)
	table.removeExpired(now.Add(59 * time.Minute))
	require.Equal(t, dead.Successor, table.entries[dead.Incarnation].Successor)
	table.removeExpired(now.Add(time.Hour))
	require.Empty(t, table.entries)
}
