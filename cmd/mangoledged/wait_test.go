package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestASignalEndsThePauseBetweenTwoIncarnations(t *testing.T) {
	signals := make(chan os.Signal, 1)
	require.True(t, wait(0, signals))
	signals <- syscall.SIGTERM
	require.False(t, wait(time.Hour, signals))
}
