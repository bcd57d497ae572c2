package profile

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPackedTimingsArriveAsTheyWereSent(t *testing.T) {
	var list []Timing
	for i := range maxShared {
		list = append(list, NewTiming(uint32(i)*0x08080808, 3000*i, 1_000_000*i, i, time.Duration(i)*time.Second))
	}
	got, err := Unpack(Pack(list))
	require.NoError(t, err)
	require.Equal(t, list, got)
	got, err = Unpack(nil)
	require.NoError(t, err)
	require.Empty(t, got)
}

func TestBrokenPackedTimingsAreRefused(t *testing.T) {
	whole := Pack([]Timing{NewTiming(7, 3000, 5000, 9, time.Second)})
	for n := 1; n < len(whole); n++ {
		_, err := Unpack(whole[:n])
		require.Error(t, err, "%d of %d bytes", n, len(whole))
	}
	many, err := Unpack(make([]byte, 8*1000))
	require.NoError(t, err)
	require.Len(t, many, maxShared)
	odd, err := Unpack([]byte{1, 0, 0, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 0, 0, 1})
	require.NoError(t, err)
	require.False(t, odd[0].valid())
}
