package figures

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

const (
	// quietRate (streams a second), quietTime and quietTokens (per stream) make up the
	// light load under which times are compared.
	quietRate   = 20
	quietTime   = 6 * time.Second
	quietTokens = 50
	// nodeRate and nodeTokens are a node's share of the traffic at full size: 57 requests
	// and 19,000 tokens a second.
	nodeRate   = 57
	nodeTokens = 333
	nodeTime   = 15 * time.Second
	// shortRequests requests of one token are measured, shortConcurrency at a time.
	shortRequests    = 4000
	shortConcurrency = 48
	// openStreams is how many streams are held open to measure their memory; openStreamRate
	// of them start per second.
	openStreams      = 600
	openStreamTokens = 400
	openStreamRate   = 300
)

// Run measures with the programs in bin, keeps its files in dir and prints the figures to
// out.
func Run(ctx context.Context, bin, dir string, out io.Writer) error {
	s, err := newSite(ctx, bin, dir)
	if err != nil {
		return err
	}
	defer s.bed.Close()
	p := &printer{out: out}
	for _, measure := range []func(context.Context, *printer) error{s.measureLatency, s.measureNodeShare, s.measureShortRequests, s.measureStreamMemory} {
		if err := measure(ctx, p); err != nil {
			return err
		}
	}
	return p.err
}

// printer prints lines and keeps the first error.
type printer struct {
	out io.Writer
	err error
}

// line prints a line.
func (p *printer) line(format string, args ...any) {
	if _, err := fmt.Fprintf(p.out, format+"\n", args...); err != nil && p.err == nil {
		p.err = err
	}
}

// measureLatency compares the times of streams through the node with those of direct ones.
func (s *site) measureLatency(ctx context.Context, p *printer) error {
	direct := runOpenLoop(ctx, s.streamDirectly, quietRate, quietTime, quietTokens)
	through := runOpenLoop(ctx, s.streamThroughNode, quietRate, quietTime, quietTokens)
	if direct.failed+through.failed > 0 {
		return errors.Newf("streams failed: direct: %v; through the node: %v", direct.err, through.err)
	}
	p.line("times at %d streams/s of %d tokens, in ms: direct, through a node, added", quietRate, quietTokens)
	printComparison(p, "first token", direct.first, through.first)
	printComparison(p, "between tokens", direct.gaps, through.gaps)
	return nil
}

// printComparison prints quantiles of both histograms and their differences, in
// milliseconds.
func printComparison(p *printer, what string, direct, through *hdrhistogram.Histogram) {
	for _, q := range []float64{50, 95, 99} {
		d, t := quantileMilliseconds(direct, q), quantileMilliseconds(through, q)
		p.line("  %-15s p%-3.0f %8.3f %8.3f %8.3f", what, q, d, t, t-d)
	}
}

// quantileMilliseconds returns quantile q, in percent, of a histogram of microseconds, in
// milliseconds.
func quantileMilliseconds(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// measureNodeShare measures the node under its share of the traffic at full size.
func (s *site) measureNodeShare(ctx context.Context, p *printer) error {
	before, err := cpuTime(s.node.Process)
	if err != nil {
		return err
	}
	started := time.Now()
	got := runOpenLoop(ctx, s.streamThroughNode, nodeRate, nodeTime, nodeTokens)
	lasted := time.Since(started)
	after, err := cpuTime(s.node.Process)
	if err != nil {
		return err
	}
	if got.done == 0 {
		return errors.Wrap(got.err, "no stream was whole")
	}
	used := after - before
	steady := float64(nodeRate*nodeTokens) * used.Seconds() / float64(got.tokens)
	p.line("share of full size, %d requests/s of %d tokens for %s:", nodeRate, nodeTokens, nodeTime)
	p.line("  %d streams whole, %d failed, %d tokens in %.1f s", got.done, got.failed, got.tokens, lasted.Seconds())
	p.line("  processor time %.2f s, %.1f us a token; %.2f cores at %d tokens/s", used.Seconds(),
		float64(used.Microseconds())/float64(got.tokens), steady, nodeRate*nodeTokens)
	p.line("  first token p95 %.3f ms, between tokens p95 %.3f ms", quantileMilliseconds(got.first, 95), quantileMilliseconds(got.gaps, 95))
	return nil
}

// measureShortRequests measures the processor time of requests of one token, at the node
// and at its witness.
func (s *site) measureShortRequests(ctx context.Context, p *printer) error {
	nodeBefore, err := cpuTime(s.node.Process)
	if err != nil {
		return err
	}
	witnessBefore, err := cpuTime(s.witness.Process)
	if err != nil {
		return err
	}
	started := time.Now()
	got := runClosedLoop(ctx, s.streamThroughNode, shortRequests, shortConcurrency)
	lasted := time.Since(started)
	nodeAfter, err := cpuTime(s.node.Process)
	if err != nil {
		return err
	}
	witnessAfter, err := cpuTime(s.witness.Process)
	if err != nil {
		return err
	}
	if got.done == 0 {
		return errors.Wrap(got.err, "no request was whole")
	}
	perRequest := (nodeAfter - nodeBefore) / time.Duration(got.done)
	p.line("%d requests of one token, %d at a time: %d whole, %d failed, %.0f requests/s", shortRequests, shortConcurrency,
		got.done, got.failed, float64(got.done)/lasted.Seconds())
	p.line("  node %s a request, %.0f requests/s a core; witness %s a request (its record, and half of the slots it owns)",
		perRequest.Round(time.Microsecond), 1/perRequest.Seconds(), ((witnessAfter - witnessBefore) / time.Duration(got.done)).Round(time.Microsecond))
	return nil
}

// measureStreamMemory measures how much resident memory the node uses for an open stream.
func (s *site) measureStreamMemory(ctx context.Context, p *printer) error {
	before, err := residentBytes(s.node.Process)
	if err != nil {
		return err
	}
	seconds := float64(openStreams) / openStreamRate
	done := make(chan *streamTimes, 1)
	go func() {
		done <- runOpenLoop(ctx, s.streamThroughNode, openStreamRate, time.Duration(seconds*float64(time.Second)), openStreamTokens)
	}()
	time.Sleep(time.Duration(seconds*float64(time.Second)) + time.Second)
	during, err := residentBytes(s.node.Process)
	if err != nil {
		return err
	}
	got := <-done
	p.line("%d open streams (%d whole, %d failed): resident %.1f MB before, %.1f MB during, %.1f kB a stream", openStreams, got.done, got.failed,
		float64(before)/1e6, float64(during)/1e6, float64(during-before)/1e3/openStreams)
	return nil
}
