package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
)

// A node that refuses a part sends nothing with it, so only the successes of others can release it.
func TestSuccessElsewhereReleasesAPartRefusedHere(t *testing.T) {
	here, elsewhere := NewSuspects(), NewSuspects()
	at := func(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }
	parts := []Fingerprint{PartFingerprint("shared by all")}
	crash := func(number int, all ...*Suspects) {
		for _, s := range all {
			s.RecordCrash(at(number), ident.Upstream(fmt.Sprint("u", number)), parts)
		}
	}
	for number := range 5 {
		crash(number, here, elsewhere)
	}
	_, refused := here.Guilty(parts)
	require.True(t, refused)
	for number := 5; number < 30; number++ {
		crash(number, elsewhere)
		elsewhere.RecordSuccess(at(number).Add(500*time.Millisecond), parts)
	}
	random := rand.New(rand.NewPCG(1, 2))
	here.Merge(elsewhere.Sample(at(30), SampleSize{Guilty: 8, Repeated: 6, Newest: 4, Random: 6, Crashes: 8, MaxAge: time.Minute}, random))
	_, refused = here.Guilty(parts)
	require.False(t, refused, "it succeeds at another node")
}
