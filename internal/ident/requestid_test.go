package ident

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRequestIDRoundTrip(t *testing.T) {
	home := NewIncarnation("n-1", time.Now())
	witness := NewIncarnation("n2", time.Now())
	id := NewRequestID(home, witness)
	back, err := ParseRequestID(id.String())
	require.NoError(t, err)
	require.Equal(t, id, back)
	require.Equal(t, Node("n-1"), back.Home.Node())
}

func TestParseRequestIDRefusesOtherText(t *testing.T) {
	for _, text := range []string{"", "a.b.c", "n1_0123456789abcdef.n2_0123456789abcdef.short", "n1_0123456789abcdef.n2_0123456789abcdef.UPPERCASEUPPERCASE", "n1_0123456789abcdef.n2_0123456789abcdef.aaaaaaaaaaaaaaaa.b"} {
		_, err := ParseRequestID(text)
		require.ErrorIs(t, err, ErrBadRequestID, text)
	}
}
