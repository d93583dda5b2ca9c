package experiment

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/core/request"
	"rosereach/core/version"
	"rosereach/internal/cluster"
	iobackend "rosereach/io/backend"
	"rosereach/io/caller"
)

const (
	// benchConns limits the idle connections of the measuring client, and the
	// engine's capacity.
	benchConns = 8192

	// The range of the first-token histograms, in microseconds.
	leastMicros = 1
	mostMicros  = 60_000_000
)

type (
	// bench is a cluster of one control, one entry and one engine without fault
	// proxies, with a client that calls the engine directly and one that calls
	// it through the entry. Round counts the rounds, for unique request IDs.
	bench struct {
		cluster  *cluster.Cluster
		straight caller.Client
		via      caller.Client
		next     int
	}

	// benchRound is a number of streams, opened at a fixed rate per second, of the
	// same number of tokens each.
	benchRound struct {
		streams int
		rate    float64
		tokens  int64
	}

	// benchSample is the cost of a round. Reason is that of one failed stream.
	benchSample struct {
		processor time.Duration
		first     *hdrhistogram.Histogram
		tokens    int64
		failed    int
		reason    string
	}

	// straightTransport turns a caller's request into one that engines accept.
	straightTransport struct {
		next *http.Transport
		ref  version.Ref
	}
)

// RoundTrip sets the headers that an entry would set, then sends the request.
func (t straightTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(iobackend.HeaderRequestID, r.Header.Get(caller.HeaderRequestID))
	r.Header.Set(iobackend.HeaderVersion, t.ref.String())
	resp, err := t.next.RoundTrip(r)
	return resp, errors.Trace(err)
}

// CloseIdleConnections closes the idle connections of the underlying transport.
func (t straightTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// withBench starts a bench whose engine emits a token each step, and runs the
// measurement on it.
func withBench(ctx context.Context, step time.Duration, measure func(context.Context, *bench) error) error {
	folder, err := os.MkdirTemp("", "rosereach-bench-")
	if err != nil {
		return errors.Trace(err)
	}
	defer os.RemoveAll(folder) //nolint:errcheck // a leftover temporary folder is harmless
	running, stop := context.WithCancel(ctx)
	defer stop()
	opts := cluster.DefaultOptions(folder)
	opts.Direct, opts.Locations, opts.Engines = true, opts.Locations[:1], [][]version.Ref{{cluster.Small1}}
	opts.RequestTimeout = 2 * time.Minute
	opts.StepTime, opts.StepPerSequence = step, 0
	opts.EngineCapacity, opts.MaxRunning = benchConns, benchConns
	c, err := cluster.Start(running, opts)
	if err != nil {
		return err
	}
	customers, err := c.SetUp(ctx)
	if err != nil {
		return err
	}
	transport := func() *http.Transport {
		return &http.Transport{MaxIdleConnsPerHost: benchConns, DisableCompression: true}
	}
	b := &bench{
		cluster: c,
		straight: caller.Client{
			Address: c.Engines[0].Address(),
			HTTP:    &http.Client{Transport: straightTransport{next: transport(), ref: cluster.Small1}},
		},
		via: caller.Client{Address: c.Entries[0].Address(), Key: customers[0].Key, HTTP: &http.Client{Transport: transport()}},
	}
	err = measure(ctx, b)
	stop()
	c.Wait() //nolint:errcheck // the measurement is complete
	return err
}

// run opens the round's streams with the client and reads each to its end.
func (b *bench) run(ctx context.Context, client caller.Client, round benchRound) benchSample {
	sample := benchSample{first: hdrhistogram.New(leastMicros, mostMicros, 3)}
	b.next++
	start, cpuBefore := clock.WallClock.Now(), processorTime()
	var (
		streams sync.WaitGroup
		mu      sync.Mutex
	)
	for i := range round.streams {
		due := start.Add(time.Duration(float64(i) / round.rate * float64(time.Second)))
		if pause(ctx, due.Sub(clock.WallClock.Now())) != nil {
			break
		}
		streams.Go(func() {
			reply, firstToken, err := b.stream(ctx, client, fmt.Sprintf("bench-%d-%d", b.next, i), round.tokens, due)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || !reply.Whole {
				sample.failed++
				sample.reason = fmt.Sprint(err, reply.Problem)
				return
			}
			sample.tokens += reply.Tokens
			sample.first.RecordValue(max(firstToken.Microseconds(), leastMicros)) //nolint:errcheck // the value is in range
		})
	}
	streams.Wait()
	sample.processor = processorTime() - cpuBefore
	return sample
}

// stream reads one streamed answer and returns the time to its first token,
// counted from when the request was due.
func (b *bench) stream(ctx context.Context, client caller.Client, id string, tokens int64, due time.Time) (caller.Reply, time.Duration, error) {
	var firstToken time.Duration
	body := caller.ChatRequest{
		Model: cluster.Small1.String(), MaxTokens: tokens, Stream: true,
		Messages: []request.Message{{Role: "user", Content: "Which shops on this street stand empty?"}},
	}
	reply, err := client.Chat(ctx, body, caller.CallOptions{RequestID: id, OnText: func(string) {
		if firstToken == 0 {
			firstToken = clock.WallClock.Now().Sub(due)
		}
	}})
	return reply, firstToken, err
}

// processorTime returns the user and system CPU time of this process so far, or
// 0 when the kernel does not tell.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveBytes returns the bytes of heap and stacks in use after two garbage
// collections.
func liveBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// millisAt returns a percentile, from 0 to 100, of the time to the
// first token in milliseconds.
func (s benchSample) millisAt(percentile float64) float64 {
	return float64(s.first.ValueAtPercentile(percentile)) / 1000
}

// add merges the figures of another round into this sample.
func (s *benchSample) add(other benchSample) {
	if s.first == nil {
		s.first = hdrhistogram.New(leastMicros, mostMicros, 3)
	}
	s.first.Merge(other.first)
	s.processor += other.processor
	s.tokens += other.tokens
	s.failed += other.failed
}
