package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSignalEndsThePauseBetweenIncarnations(t *testing.T) {
	signals := make(chan os.Signal, 1)
	require.True(t, waitUnlessSignaled(0, signals))
	signals <- syscall.SIGTERM
	require.False(t, waitUnlessSignaled(time.Hour, signals))
}
