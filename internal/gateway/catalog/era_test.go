package catalog

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

// eraCatalog is a catalog with a clock of its own, whose entries are JSON upstreams.
type eraCatalog struct {
	*Upstreams
	at time.Time
}

func newEraCatalog() *eraCatalog {
	c := &eraCatalog{at: time.Unix(1000, 0)}
	decode := func(o objects.Object) (site.Upstream, error) {
		u := site.Upstream{ID: o.Metadata.Name, Service: "s"}
		return u, json.Unmarshal(o.Spec, &u)
	}
	c.Upstreams = NewUpstreams(decode, slog.New(slog.DiscardHandler), func() time.Time { return c.at })
	return c
}

// eraEntry returns an entry with a number of reports.
func eraEntry(name string, era, revision uint64, reports int64, draining bool) objects.Object {
	spec, _ := json.Marshal(map[string]any{"Reports": reports, "Draining": draining}) // plain values always marshal
	return objects.Object{Metadata: objects.Metadata{Name: name, ResourceVersion: objects.VersionOf(era, revision)}, Spec: spec}
}

func eraList(era, revision uint64, items ...objects.Object) objects.List {
	return objects.List{Metadata: objects.ListMetadata{ResourceVersion: objects.VersionOf(era, revision)}, Items: items}
}

func (c *eraCatalog) usable() []string {
	var out []string
	for _, u := range c.View().ByService["s"] {
		out = append(out, u.ID)
	}
	return out
}

func TestOlderCopyDropsNoLivingUpstreamAndBringsNoneBack(t *testing.T) {
	c := newEraCatalog()
	c.Replace(eraList(1, 10, eraEntry("left", 1, 5, 3, false), eraEntry("stays", 1, 6, 3, false), eraEntry("leaving", 1, 7, 3, false)))
	c.Put(eraEntry("came", 1, 11, 1, false))
	c.Put(eraEntry("leaving", 1, 12, 4, true))
	c.Remove(eraEntry("left", 1, 5, 3, false))
	require.Equal(t, []string{"came", "stays"}, c.usable())

	c.Replace(eraList(2, 10, eraEntry("left", 2, 5, 3, false), eraEntry("stays", 2, 6, 3, false), eraEntry("leaving", 2, 7, 3, false)))
	require.Equal(t, []string{"came", "stays"}, c.usable(), "right after the store came back")
	c.at = c.at.Add(time.Second)
	c.Put(eraEntry("came", 2, 11, 2, false)) // at the revision that it had before
	c.Put(eraEntry("left", 2, 12, 4, false)) // it was alive after all
	c.at = c.at.Add(2 * reregistrationGrace)
	c.RemoveExpired()
	require.Equal(t, []string{"came", "left", "stays"}, c.usable())
}

func TestLivingUpstreamOfAnOldEntryIsUsedOnceItsRemovalIsNotRepeated(t *testing.T) {
	c, follower := newEraCatalog(), newEraCatalog()
	c.Replace(eraList(1, 10, eraEntry("a", 1, 5, 3, false)))
	c.Remove(eraEntry("a", 1, 5, 3, false))
	c.Replace(eraList(2, 10, eraEntry("a", 2, 5, 3, false)))
	update := c.UpdateSince(0)
	follower.Apply(&update)
	require.Empty(t, c.usable())
	require.Empty(t, follower.usable())
	c.at = c.at.Add(removedHoldTime)
	c.RemoveExpired()
	update = c.UpdateSince(update.Sequence)
	follower.Apply(&update)
	require.Equal(t, []string{"a"}, c.usable())
	require.Equal(t, []string{"a"}, follower.usable())
}

func TestUpstreamThatIsNotWrittenAgainIsGone(t *testing.T) {
	c := newEraCatalog()
	c.Replace(eraList(1, 10, eraEntry("a", 1, 5, 3, false), eraEntry("b", 1, 9, 1, false)))
	c.Replace(eraList(2, 6, eraEntry("a", 2, 5, 3, false)))
	require.Equal(t, []string{"a", "b"}, c.usable())
	c.at = c.at.Add(reregistrationGrace)
	c.RemoveExpired()
	require.Equal(t, []string{"a"}, c.usable())
}

func TestLateAnswerOfAnEarlierEraIsIgnored(t *testing.T) {
	c := newEraCatalog()
	c.Replace(eraList(1, 10, eraEntry("a", 1, 5, 3, false)))
	c.Replace(eraList(2, 6, eraEntry("a", 2, 5, 3, false)))
	c.Put(eraEntry("a", 2, 7, 4, true))
	c.Put(eraEntry("a", 1, 99, 3, false))
	c.Apply(&Update{StoreVersion: objects.VersionOf(1, 99), Full: true})
	require.Empty(t, c.usable())
	require.Contains(t, c.View().All, "a")
}
