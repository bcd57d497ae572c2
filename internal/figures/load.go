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
	// histogramMax is the longest time that the histograms can hold.
	histogramMax = time.Minute
	// histogramDigits is the precision of the histograms in decimal digits.
	histogramDigits = 3
	// clockTicksPerSecond is the number of clock ticks a second in which the kernel reports
	// processor time.
	clockTicksPerSecond = 100
	// userTicksField and systemTicksField are the fields of a process's stat line, counted
	// from 0 after the name.
	userTicksField   = 11
	systemTicksField = 12
)

// streamFunc runs one stream of the given number of tokens and returns its times.
type streamFunc func(ctx context.Context, tokens int) (streamTiming, error)

// streamTimes collects the times of the streams of one measurement, in microseconds. err
// is the last error of a stream.
type streamTimes struct {
	mu     sync.Mutex
	first  *hdrhistogram.Histogram
	gaps   *hdrhistogram.Histogram
	tokens int
	done   int
	failed int
	err    error
}

// newStreamTimes returns an empty collection.
func newStreamTimes() *streamTimes {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits)
	}
	return &streamTimes{first: histogram(), gaps: histogram()}
}

// add adds the times of a stream, or counts it as failed if err is not nil.
func (t *streamTimes) add(one streamTiming, err error) {
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

// runOpenLoop starts streams at a steady rate for the given duration and waits for all of
// them to end.
func runOpenLoop(ctx context.Context, r streamFunc, perSecond float64, duration time.Duration, tokens int) *streamTimes {
	out := newStreamTimes()
	var wait sync.WaitGroup
	interval := time.Duration(float64(time.Second) / perSecond)
	started := time.Now()
	for next := started; next.Sub(started) < duration; next = next.Add(interval) {
		time.Sleep(time.Until(next))
		wait.Go(func() { out.add(r(ctx, tokens)) })
	}
	wait.Wait()
	return out
}

// runClosedLoop runs count streams of one token, concurrency at a time.
func runClosedLoop(ctx context.Context, r streamFunc, count, concurrency int) *streamTimes {
	out := newStreamTimes()
	var wait sync.WaitGroup
	work := make(chan struct{}, count)
	for range count {
		work <- struct{}{}
	}
	close(work)
	for range concurrency {
		wait.Go(func() {
			for range work {
				out.add(r(ctx, 1))
			}
		})
	}
	wait.Wait()
	return out
}

// cpuTime returns the processor time that a process has used so far.
func cpuTime(p *testbed.Process) (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/stat")
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemTicksField {
		return 0, errors.New("the process's stat line has too few fields")
	}
	user, err := strconv.ParseInt(fields[userTicksField], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[systemTicksField], 10, 64)
	if err != nil {
		return 0, err
	}
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, nil
}

// residentBytes returns the resident memory of a process, in bytes.
func residentBytes(p *testbed.Process) (int64, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/statm")
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, errors.New("the process's statm line has too few fields")
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
