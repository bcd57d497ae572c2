package story

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// logs provides the logs of two daemons. The second has a collector's prefix and a line without
// an object.
func logs(read func(io.Reader) error) error {
	for _, text := range []string{
		`{"time":"2026-01-01T00:00:01Z","msg":"upstream","node":"n1","upstream":"i-1","draining":true}
{"time":"2026-01-01T00:00:01Z","msg":"upstream","node":"n1","upstream":"i-2","draining":true}
{"time":"2026-01-01T00:00:02.25Z","msg":"answer lost","node":"n1","request":"r-1","upstream":"i-1","after":250000000}
{"time":"2026-01-01T00:00:02.2Z","msg":"answered","node":"n1","request":"r-2","upstream":"i-1"}
{"time":"2026-01-01T00:00:09Z","msg":"stopping","node":"n1"}
`,
		`  7.1 n2 {"time":"2026-01-01T00:00:02Z","msg":"upstream not reached","node":"n2","request":"r-1","upstream":"i-3"}
a line of another program
  7.2 n2 {"time":"2026-01-01T00:00:01.5Z","msg":"store not followed","node":"n2","config_age":1500000000}
  7.2 n2 {"time":"2026-01-01T00:00:01.5Z","msg":"upstream","node":"n2","upstream":"i-1"}
`,
	} {
		if err := read(strings.NewReader(text)); err != nil {
			return err
		}
	}
	return nil
}

func TestRequestLinesReturnsTheRequestAndItsContext(t *testing.T) {
	lines, err := RequestLines("r-1", logs)
	require.NoError(t, err)
	var out strings.Builder
	require.NoError(t, Write(&out, lines))
	require.Equal(t, `   -1.000s   n1  upstream  draining=true  upstream=i-1
   -0.500s   n2  store not followed  config_age=1.5s
   -0.500s   n2  upstream  upstream=i-1
   +0.000s > n2  upstream not reached  request=r-1  upstream=i-3
   +0.250s > n1  answer lost  after=250ms  request=r-1  upstream=i-1
`, out.String())
}

func TestARequestThatNoLogMentionsIsAnError(t *testing.T) {
	_, err := RequestLines("r-9", logs)
	require.ErrorIs(t, err, ErrNotFound)
}
