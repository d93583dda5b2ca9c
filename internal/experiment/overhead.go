package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"rosereach/io/caller"
)

const (
	// overheadRounds is how often rounds straight to the engine and through the
	// entry alternate.
	overheadRounds = 4

	// overheadStep is the time between two tokens of a stream.
	overheadStep = 5 * time.Millisecond

	// The limits of what an entry adds: milliseconds to the first token, and
	// microseconds of CPU time for each token.
	addedFirstP50 = 1.0
	addedFirstP99 = 3.0
	addedPerToken = 5.0

	// The peak load per second for which the system is sized.
	peakRequests = 4100
	peakTokens   = 990_000

	// openStreams is the number of streams held open to measure their memory. A
	// stream through the entry takes four file descriptors of the process.
	openStreams = 3000

	// heldStep is the time between tokens of the streams held open.
	heldStep = 2 * time.Second
)

// The rounds of the overhead experiment. The long and the short round open the
// same number of streams, so that their difference is the cost of tokens alone.
var (
	longAnswers  = benchRound{streams: 150, rate: 75, tokens: 160}
	shortAnswers = benchRound{streams: 150, rate: 75, tokens: 10}
	heldAnswers  = benchRound{streams: openStreams, rate: 2000, tokens: 8}
)

// overheadSamples holds the measurements of one seed.
type overheadSamples struct {
	straight, via           benchSample
	shortStraight, shortVia benchSample
	perStream               float64
}

// overhead compares streams directly from an engine with streams
// through an entry, in alternating rounds of one run.
func overhead() Experiment {
	return New("overhead", "measure what an entry adds to latency, processor time and memory", runOverhead)
}

func runOverhead(ctx context.Context, opts Options) (Result, error) {
	var seedSamples []overheadSamples
	for seed := range opts.Seeds {
		var s overheadSamples
		if err := withBench(ctx, overheadStep, s.measure); err != nil {
			return Result{}, errors.Annotate(err, "latency and processor time")
		}
		if err := withBench(ctx, heldStep, s.measureMemory); err != nil {
			return Result{}, errors.Annotate(err, "memory")
		}
		fmt.Fprintf(opts.Progress, "seed %d: entry adds %.2f us a token, %.0f bytes a stream\n", seed+1, s.perToken(), s.perStream) //nolint:errcheck // progress output is optional
		seedSamples = append(seedSamples, s)
	}
	return overheadResult(seedSamples), nil
}

// measure runs one warm-up round of each kind of client, then the measured ones.
func (s *overheadSamples) measure(ctx context.Context, b *bench) error {
	b.run(ctx, b.straight, shortAnswers)
	b.run(ctx, b.via, shortAnswers)
	for range overheadRounds {
		s.straight.add(b.run(ctx, b.straight, longAnswers))
		s.via.add(b.run(ctx, b.via, longAnswers))
		s.shortStraight.add(b.run(ctx, b.straight, shortAnswers))
		s.shortVia.add(b.run(ctx, b.via, shortAnswers))
	}
	return errors.Trace(ctx.Err())
}

// measureMemory holds streams open directly and through the entry; the difference
// in memory is the entry's.
func (s *overheadSamples) measureMemory(ctx context.Context, b *bench) error {
	directBytes, err := b.heldBytes(ctx, b.straight)
	if err != nil {
		return err
	}
	entryBytes, err := b.heldBytes(ctx, b.via)
	s.perStream = (entryBytes - directBytes) / openStreams
	return err
}

// heldBytes returns the bytes in use while all streams are open.
func (b *bench) heldBytes(ctx context.Context, client caller.Client) (float64, error) {
	defer client.HTTP.CloseIdleConnections()
	bytesBefore := liveBytes()
	ended := make(chan benchSample, 1)
	go func() { ended <- b.run(ctx, client, heldAnswers) }()
	for b.cluster.Engines[0].Fake.Busy() < openStreams {
		select {
		case sample := <-ended:
			return 0, errors.Errorf("the streams ended before all of them were open; %d failed, one of them with: %s", sample.failed, sample.reason)
		default:
		}
		if err := pause(ctx, pollPause); err != nil {
			return 0, err
		}
	}
	if err := pause(ctx, heldStep); err != nil {
		return 0, err
	}
	held := liveBytes() - bytesBefore
	sample := <-ended
	if sample.failed > 0 {
		return held, errors.Errorf("%d of %d streams failed, one of them with: %s", sample.failed, openStreams, sample.reason)
	}
	return held, nil
}

// perToken returns the CPU time in microseconds that the way through the
// entry adds to each token, the client's part of it included.
func (s overheadSamples) perToken() float64 {
	long := s.via.processor - s.straight.processor
	short := s.shortVia.processor - s.shortStraight.processor
	tokens := s.via.tokens - s.shortVia.tokens
	return float64((long - short).Nanoseconds()) / 1000 / float64(max(tokens, 1))
}

// perRequest returns the CPU time in microseconds that entry, control and
// ledger together add to each request, without its tokens.
func (s overheadSamples) perRequest() float64 {
	short := s.shortVia.processor - s.shortStraight.processor
	requests := float64(overheadRounds * shortAnswers.streams)
	return float64(short.Nanoseconds())/1000/requests - s.perToken()*float64(shortAnswers.tokens)
}

func overheadResult(seedSamples []overheadSamples) Result {
	collect := func(value func(overheadSamples) float64) []float64 {
		var values []float64
		for _, s := range seedSamples {
			values = append(values, value(s))
		}
		return values
	}
	addedFirstToken := func(percentile float64) []float64 {
		return collect(func(s overheadSamples) float64 { return s.via.millisAt(percentile) - s.straight.millisAt(percentile) })
	}
	tokenMicros, requestMicros := collect(overheadSamples.perToken), collect(overheadSamples.perRequest)
	cores := collect(func(s overheadSamples) float64 {
		return (s.perToken()*peakTokens + s.perRequest()*peakRequests) / 1e6
	})
	return Result{Experiment: "overhead", Seeds: len(seedSamples), Rows: []Row{
		NewRow("first token p50, added by the entry", "ms", addedFirstToken(50)...).WithAtMost(addedFirstP50),
		NewRow("first token p99, added by the entry", "ms", addedFirstToken(99)...).WithAtMost(addedFirstP99),
		NewRow("first token p50, straight", "ms", collect(func(s overheadSamples) float64 { return s.straight.millisAt(50) })...),
		NewRow("first token p99, straight", "ms", collect(func(s overheadSamples) float64 { return s.straight.millisAt(99) })...),
		NewRow("processor time a token, added by the entry", "us", tokenMicros...).WithAtMost(addedPerToken),
		NewRow("processor time a token, engine and client", "us", collect(func(s overheadSamples) float64 {
			return float64(s.straight.processor.Nanoseconds()) / 1000 / float64(max(s.straight.tokens, 1))
		})...),
		NewRow("processor time a request, entry and control", "us", requestMicros...),
		NewRow("streams that failed", "streams", collect(func(s overheadSamples) float64 {
			return float64(s.straight.failed + s.via.failed + s.shortStraight.failed + s.shortVia.failed)
		})...).WithAtMost(0),
		NewRow(fmt.Sprintf("memory of an open stream, %d open", openStreams), "bytes", collect(func(s overheadSamples) float64 { return s.perStream })...),
		NewRow("cores for 4,100 requests and 990,000 tokens a second", "cores", cores...),
	}}
}
