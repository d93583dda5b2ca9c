package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"rosereach/io/caller"
)

const (
	// overheadRounds is the number of rounds directly to the engine and through the
	// entry, which alternate.
	overheadRounds = 4

	// overheadStep is the time between two tokens of a stream.
	overheadStep = 5 * time.Millisecond

	// The limits of what an entry adds: milliseconds to the first token, and
	// microseconds of CPU time for each token.
	maxAddedFirstTokenP50 = 1.0
	maxAddedFirstTokenP99 = 3.0
	maxAddedPerToken      = 5.0

	// The peak load per second for which the system is sized.
	peakRequests = 4100
	peakTokens   = 990_000

	// openStreams is the number of streams held open to measure their memory. A
	// stream through the entry takes four file descriptors of the process.
	openStreams = 3000

	// openStreamStep is the time between tokens of the streams held open.
	openStreamStep = 2 * time.Second
)

// The rounds of the overhead experiment. The long and the short round open the
// same number of streams, so that their difference is the cost of tokens alone.
var (
	longRound       = benchRound{streams: 150, rate: 75, tokens: 160}
	shortRound      = benchRound{streams: 150, rate: 75, tokens: 10}
	openStreamRound = benchRound{streams: openStreams, rate: 2000, tokens: 8}
)

// overheadSamples holds the measurements of one seed.
type overheadSamples struct {
	direct, viaEntry           benchSample
	shortDirect, shortViaEntry benchSample
	bytesPerStream             float64
}

// overheadExperiment compares streams directly from an engine with streams
// through an entry, in alternating rounds of one run.
func overheadExperiment() Experiment {
	return New("overhead", "measure what an entry adds to latency, processor time and memory", runOverhead)
}

func runOverhead(ctx context.Context, opts Options) (Result, error) {
	var seedSamples []overheadSamples
	for seed := range opts.Seeds {
		var s overheadSamples
		if err := withBench(ctx, overheadStep, s.measure); err != nil {
			return Result{}, errors.Annotate(err, "latency and processor time")
		}
		if err := withBench(ctx, openStreamStep, s.measureMemory); err != nil {
			return Result{}, errors.Annotate(err, "memory")
		}
		fmt.Fprintf(opts.Progress, "seed %d: entry adds %.2f us a token, %.0f bytes a stream\n", seed+1, s.microsPerToken(), s.bytesPerStream) //nolint:errcheck // progress output is optional
		seedSamples = append(seedSamples, s)
	}
	return overheadResult(seedSamples), nil
}

// measure runs one warm-up round of each kind of client, then the measured ones.
func (s *overheadSamples) measure(ctx context.Context, b *bench) error {
	b.run(ctx, b.direct, shortRound)
	b.run(ctx, b.viaEntry, shortRound)
	for range overheadRounds {
		s.direct.merge(b.run(ctx, b.direct, longRound))
		s.viaEntry.merge(b.run(ctx, b.viaEntry, longRound))
		s.shortDirect.merge(b.run(ctx, b.direct, shortRound))
		s.shortViaEntry.merge(b.run(ctx, b.viaEntry, shortRound))
	}
	return errors.Trace(ctx.Err())
}

// measureMemory holds streams open directly and through the entry; the difference
// in memory is the entry's.
func (s *overheadSamples) measureMemory(ctx context.Context, b *bench) error {
	directBytes, err := b.openStreamBytes(ctx, b.direct)
	if err != nil {
		return err
	}
	entryBytes, err := b.openStreamBytes(ctx, b.viaEntry)
	s.bytesPerStream = (entryBytes - directBytes) / openStreams
	return err
}

// openStreamBytes returns the bytes in use while all streams are open.
func (b *bench) openStreamBytes(ctx context.Context, client caller.Client) (float64, error) {
	defer client.HTTP.CloseIdleConnections()
	bytesBefore := liveBytes()
	ended := make(chan benchSample, 1)
	go func() { ended <- b.run(ctx, client, openStreamRound) }()
	for b.cluster.Engines[0].Fake.InFlight() < openStreams {
		select {
		case sample := <-ended:
			return 0, errors.Errorf("the streams ended before all of them were open; %d failed, one of them with: %s", sample.failed, sample.reason)
		default:
		}
		if err := pause(ctx, pollInterval); err != nil {
			return 0, err
		}
	}
	if err := pause(ctx, openStreamStep); err != nil {
		return 0, err
	}
	held := liveBytes() - bytesBefore
	sample := <-ended
	if sample.failed > 0 {
		return held, errors.Errorf("%d of %d streams failed, one of them with: %s", sample.failed, openStreams, sample.reason)
	}
	return held, nil
}

// microsPerToken returns the CPU time in microseconds that the path through the
// entry adds to each token, including the client's share.
func (s overheadSamples) microsPerToken() float64 {
	long := s.viaEntry.cpuTime - s.direct.cpuTime
	short := s.shortViaEntry.cpuTime - s.shortDirect.cpuTime
	tokens := s.viaEntry.tokens - s.shortViaEntry.tokens
	return float64((long - short).Nanoseconds()) / 1000 / float64(max(tokens, 1))
}

// microsPerRequest returns the CPU time in microseconds that entry, control and
// ledger together add to each request, excluding the cost of its tokens.
func (s overheadSamples) microsPerRequest() float64 {
	short := s.shortViaEntry.cpuTime - s.shortDirect.cpuTime
	requests := float64(overheadRounds * shortRound.streams)
	return float64(short.Nanoseconds())/1000/requests - s.microsPerToken()*float64(shortRound.tokens)
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
		return collect(func(s overheadSamples) float64 {
			return s.viaEntry.firstTokenMillis(percentile) - s.direct.firstTokenMillis(percentile)
		})
	}
	tokenMicros, requestMicros := collect(overheadSamples.microsPerToken), collect(overheadSamples.microsPerRequest)
	cores := collect(func(s overheadSamples) float64 {
		return (s.microsPerToken()*peakTokens + s.microsPerRequest()*peakRequests) / 1e6
	})
	return Result{Experiment: "overhead", Seeds: len(seedSamples), Rows: []Row{
		NewRow("first token p50, added by the entry", "ms", addedFirstToken(50)...).WithAtMost(maxAddedFirstTokenP50),
		NewRow("first token p99, added by the entry", "ms", addedFirstToken(99)...).WithAtMost(maxAddedFirstTokenP99),
		NewRow("first token p50, straight", "ms", collect(func(s overheadSamples) float64 { return s.direct.firstTokenMillis(50) })...),
		NewRow("first token p99, straight", "ms", collect(func(s overheadSamples) float64 { return s.direct.firstTokenMillis(99) })...),
		NewRow("processor time a token, added by the entry", "us", tokenMicros...).WithAtMost(maxAddedPerToken),
		NewRow("processor time a token, engine and client", "us", collect(func(s overheadSamples) float64 {
			return float64(s.direct.cpuTime.Nanoseconds()) / 1000 / float64(max(s.direct.tokens, 1))
		})...),
		NewRow("processor time a request, entry and control", "us", requestMicros...),
		NewRow("streams that failed", "streams", collect(func(s overheadSamples) float64 {
			return float64(s.direct.failed + s.viaEntry.failed + s.shortDirect.failed + s.shortViaEntry.failed)
		})...).WithAtMost(0),
		NewRow(fmt.Sprintf("memory of an open stream, %d open", openStreams), "bytes", collect(func(s overheadSamples) float64 { return s.bytesPerStream })...),
		NewRow("cores for 4,100 requests and 990,000 tokens a second", "cores", cores...),
	}}
}
