package figures

import (
	"context"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/testbed"
)

const (
	// histogramMax is the longest time that is told apart.
	histogramMax = time.Minute
	// histogramDigits is the precision of the histograms.
	histogramDigits = 3
	// clockTicks is the number of ticks of processor time a second, as the kernel reports it.
	clockTicks = 100
	// The fields of a process's stat line behind its name.
	userTicksField   = 11
	systemTicksField = 12
)

// run is one way to make a stream.
type run func(ctx context.Context, tokens int) (timing, error)

// times collects the streams of one measurement.
type times struct {
	mu     sync.Mutex
	first  *hdrhistogram.Histogram
	gaps   *hdrhistogram.Histogram
	tokens int
	done   int
	failed int
	err    error
}

func newTimes() *times {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits)
	}
	return &times{first: histogram(), gaps: histogram()}
}

func (t *times) add(one timing, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.failed++
		t.err = err
		return
	}
	t.done++
	t.tokens += 1 + len(one.gaps)
	_ = t.first.RecordValue(one.first.Microseconds())
	for _, gap := range one.gaps {
		_ = t.gaps.RecordValue(gap.Microseconds())
	}
}

// open starts streams of tokens tokens at a steady rate for some time and waits for them.
func open(ctx context.Context, r run, perSecond float64, lasting time.Duration, tokens int) *times {
	out := newTimes()
	var wait sync.WaitGroup
	interval := time.Duration(float64(time.Second) / perSecond)
	started := time.Now()
	for next := started; next.Sub(started) < lasting; next = next.Add(interval) {
		time.Sleep(time.Until(next))
		wait.Go(func() { out.add(r(ctx, tokens)) })
	}
	wait.Wait()
	return out
}

// closed makes count streams of one token, width at a time.
func closed(ctx context.Context, r run, count, width int) *times {
	out := newTimes()
	var wait sync.WaitGroup
	work := make(chan struct{}, count)
	for range count {
		work <- struct{}{}
	}
	close(work)
	for range width {
		wait.Go(func() {
			for range work {
				out.add(r(ctx, 1))
			}
		})
	}
	wait.Wait()
	return out
}

// cpuTime returns the processor time that a process has used.
func cpuTime(p *testbed.Process) (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/stat")
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemTicksField {
		return 0, errors.New("the process's stat line is short")
	}
	user, err := strconv.ParseInt(fields[userTicksField], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[systemTicksField], 10, 64)
	if err != nil {
		return 0, err
	}
	return time.Duration(user+system) * time.Second / clockTicks, nil
}

// residentBytes returns the resident memory of a process.
func residentBytes(p *testbed.Process) (int64, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/statm")
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, errors.New("the process's statm line is short")
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
