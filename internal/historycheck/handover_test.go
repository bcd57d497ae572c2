package historycheck

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHandoversAreChecked(t *testing.T) {
	start := time.Unix(1000, 0)
	call := func(ms int, subject, host string, fence uint64) LeaderCall {
		return LeaderCall{At: start.Add(time.Duration(ms) * time.Millisecond), Subject: subject, Host: host, Fence: fence}
	}
	for name, c := range map[string]struct {
		calls []LeaderCall
		want  []string
	}{
		"one host after another": {[]LeaderCall{call(0, "s", "a", 1), call(10, "s", "a", 1), call(20, "s", "b", 2), call(3010, "s", "a", 3)}, nil},
		"two subjects":           {[]LeaderCall{call(0, "s", "a", 1), call(10, "u", "b", 2), call(20, "s", "a", 1)}, nil},
		"a late call":            {[]LeaderCall{call(20, "s", "a", 1), call(10, "s", "b", 2)}, []string{"s: a called with fencing number 1, 10ms after b with 2"}},
		"a host comes back":      {[]LeaderCall{call(0, "s", "a", 1), call(10, "s", "b", 2), call(2999, "s", "a", 3)}, []string{"s: a called before and after b within 2.999s"}},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, CheckHandovers(c.calls, 3*time.Second)) })
	}
}
