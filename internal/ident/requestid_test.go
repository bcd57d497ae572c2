package ident

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStampedRequestID(t *testing.T) {
	issued := time.Unix(1_700_000_000, 0)
	home := NewIncarnation("n-1", time.Now())
	witness := NewIncarnation("n2", time.Now())
	id, err := ParseRequestID(StampedPrefix(home, witness, issued) + "aaaaaaaaaaaaaaaa")
	require.NoError(t, err)
	at, ok := id.Issued()
	require.True(t, ok)
	require.True(t, issued.Equal(at))
	again, err := ParseRequestID(id.String())
	require.NoError(t, err)
	require.Equal(t, id, again)
	_, ok = NewRequestID(home, witness).Issued()
	require.False(t, ok)
	for _, bad := range []string{"-aaaaaaaaaaaaaaaa", "6553f10-aaaaaaaaaaaaaaaa", "6553f1000-aaaaaaaaaaaaaaaa", "6553f100-aaaaaaaaaaaaaaa", "6553f10g-aaaaaaaaaaaaaaaa"} {
		_, err := ParseRequestID(Prefix(home, witness) + bad)
		require.ErrorIs(t, err, ErrBadRequestID, bad)
	}
}

func TestRequestIDRoundTrip(t *testing.T) {
	home := NewIncarnation("n-1", time.Now())
	witness := NewIncarnation("n2", time.Now())
	id := NewRequestID(home, witness)
	back, err := ParseRequestID(id.String())
	require.NoError(t, err)
	require.Equal(t, id, back)
	require.Equal(t, Node("n-1"), back.Home.Node())
}

func TestParseRequestIDRejectsInvalidText(t *testing.T) {
	for _, text := range []string{"", "a.b.c", "n1_0123456789abcdef.n2_0123456789abcdef.short", "n1_0123456789abcdef.n2_0123456789abcdef.UPPERCASEUPPERCASE", "n1_0123456789abcdef.n2_0123456789abcdef.aaaaaaaaaaaaaaaa.b"} {
		_, err := ParseRequestID(text)
		require.ErrorIs(t, err, ErrBadRequestID, text)
	}
}
