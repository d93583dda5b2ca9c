package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"rosereach/io/caller"
)

const (
	// overheadRounds is how often straight and routed rounds take turns.
	overheadRounds = 4

	// overheadStep is the time between two tokens of a stream.
	overheadStep = 5 * time.Millisecond

	// The bounds of what an entry adds.
	addedFirstP50 = 1.0
	addedFirstP99 = 3.0
	addedPerToken = 5.0

	// The peak that the system is to carry, each second.
	peakRequests = 4100
	peakTokens   = 990_000

	// openStreams is how many streams are held open to measure their memory; a
	// stream through the entry takes four of the process's files.
	openStreams = 3000

	// heldStep is the time between tokens while streams are held open.
	heldStep = 2 * time.Second
)

// The rounds of the overhead experiment. Both open the same number of streams,
// so that their difference is the cost of tokens alone.
var (
	longAnswers  = benchRound{streams: 150, rate: 75, tokens: 160}
	shortAnswers = benchRound{streams: 150, rate: 75, tokens: 10}
	heldAnswers  = benchRound{streams: openStreams, rate: 2000, tokens: 8}
)

// overheadSamples are the figures of one seed.
type overheadSamples struct {
	straight, via           benchSample
	shortStraight, shortVia benchSample
	perStream               float64
}

// overhead compares streams straight from an engine with streams through an
// entry, in turns within one run.
func overhead() Experiment {
	return New("overhead", "measure what an entry adds to latency, processor time and memory", runOverhead)
}

func runOverhead(ctx context.Context, opts Options) (Result, error) {
	var all []overheadSamples
	for seed := range opts.Seeds {
		var s overheadSamples
		if err := withBench(ctx, overheadStep, s.measure); err != nil {
			return Result{}, errors.Annotate(err, "latency and processor time")
		}
		if err := withBench(ctx, heldStep, s.measureMemory); err != nil {
			return Result{}, errors.Annotate(err, "memory")
		}
		fmt.Fprintf(opts.Progress, "seed %d: entry adds %.2f us a token, %.0f bytes a stream\n", seed+1, s.perToken(), s.perStream) //nolint:errcheck // progress is a help only
		all = append(all, s)
	}
	return overheadResult(all), nil
}

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

// measureMemory holds streams open straight and through the entry; what the
// second needs more is the entry's.
func (s *overheadSamples) measureMemory(ctx context.Context, b *bench) error {
	straight, err := b.heldBytes(ctx, b.straight)
	if err != nil {
		return err
	}
	via, err := b.heldBytes(ctx, b.via)
	s.perStream = (via - straight) / openStreams
	return err
}

// heldBytes returns the bytes in use while all streams are open.
func (b *bench) heldBytes(ctx context.Context, client caller.Client) (float64, error) {
	defer client.HTTP.CloseIdleConnections()
	before := liveBytes()
	ended := make(chan benchSample, 1)
	go func() { ended <- b.run(ctx, client, heldAnswers) }()
	for b.cluster.Engines[0].Fake.Busy() < openStreams {
		select {
		case sample := <-ended:
			return 0, errors.Errorf("the streams ended before all were open; %d failed, one with %s", sample.failed, sample.reason)
		default:
		}
		if err := pause(ctx, pollPause); err != nil {
			return 0, err
		}
	}
	if err := pause(ctx, heldStep); err != nil {
		return 0, err
	}
	held := liveBytes() - before
	sample := <-ended
	if sample.failed > 0 {
		return held, errors.Errorf("%d of %d streams failed, one with %s", sample.failed, openStreams, sample.reason)
	}
	return held, nil
}

// perToken returns the processor time in microseconds that the entry and the
// client's share beside it add to a token.
func (s overheadSamples) perToken() float64 {
	long := s.via.processor - s.straight.processor
	short := s.shortVia.processor - s.shortStraight.processor
	tokens := s.via.tokens - s.shortVia.tokens
	return float64((long - short).Nanoseconds()) / 1000 / float64(max(tokens, 1))
}

// perRequest returns the microseconds that a request adds beside its tokens:
// entry, control and ledger together.
func (s overheadSamples) perRequest() float64 {
	short := s.shortVia.processor - s.shortStraight.processor
	requests := float64(overheadRounds * shortAnswers.streams)
	return float64(short.Nanoseconds())/1000/requests - s.perToken()*float64(shortAnswers.tokens)
}

func overheadResult(all []overheadSamples) Result {
	collect := func(f func(overheadSamples) float64) []float64 {
		var values []float64
		for _, s := range all {
			values = append(values, f(s))
		}
		return values
	}
	first := func(q float64) []float64 {
		return collect(func(s overheadSamples) float64 { return s.via.millisAt(q) - s.straight.millisAt(q) })
	}
	token, perRequest := collect(overheadSamples.perToken), collect(overheadSamples.perRequest)
	cores := collect(func(s overheadSamples) float64 {
		return (s.perToken()*peakTokens + s.perRequest()*peakRequests) / 1e6
	})
	return Result{Experiment: "overhead", Seeds: len(all), Rows: []Row{
		NewRow("first token p50, added by the entry", "ms", first(50)...).WithAtMost(addedFirstP50),
		NewRow("first token p99, added by the entry", "ms", first(99)...).WithAtMost(addedFirstP99),
		NewRow("first token p50, straight", "ms", collect(func(s overheadSamples) float64 { return s.straight.millisAt(50) })...),
		NewRow("first token p99, straight", "ms", collect(func(s overheadSamples) float64 { return s.straight.millisAt(99) })...),
		NewRow("processor time a token, added by the entry", "us", token...).WithAtMost(addedPerToken),
		NewRow("processor time a token, engine and client", "us", collect(func(s overheadSamples) float64 {
			return float64(s.straight.processor.Nanoseconds()) / 1000 / float64(max(s.straight.tokens, 1))
		})...),
		NewRow("processor time a request, entry and control", "us", perRequest...),
		NewRow("streams that failed", "streams", collect(func(s overheadSamples) float64 {
			return float64(s.straight.failed + s.via.failed + s.shortStraight.failed + s.shortVia.failed)
		})...).WithAtMost(0),
		NewRow(fmt.Sprintf("memory of an open stream, %d open", openStreams), "bytes", collect(func(s overheadSamples) float64 { return s.perStream })...),
		NewRow("cores for 4,100 requests and 990,000 tokens a second", "cores", cores...),
	}}
}
