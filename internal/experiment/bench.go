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
	"rosereach/io/bounded"
	"rosereach/io/caller"
)

const (
	// maxBenchConns limits the idle connections of the measuring client, and the
	// engine's capacity.
	maxBenchConns = 8192

	// The range of the first-token histograms, in microseconds.
	minMicros = 1
	maxMicros = 60_000_000
)

type (
	// bench is a cluster of one control, one entry and one engine without fault
	// proxies, with a client that calls the engine directly and one that calls
	// it through the entry. Round counts the rounds, for unique request IDs.
	bench struct {
		cluster  *cluster.Cluster
		direct   caller.Client
		viaEntry caller.Client
		round    int
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
		cpuTime    time.Duration
		firstToken *hdrhistogram.Histogram
		tokens     int64
		failed     int
		reason     string
	}

	// directTransport turns a caller's request into one that engines accept.
	directTransport struct {
		base bounded.RoundTripper
		ref  version.Ref
	}
)

// RoundTrip sets the headers that an entry would set, then sends the request.
func (t directTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(iobackend.HeaderRequestID, r.Header.Get(caller.HeaderRequestID))
	r.Header.Set(iobackend.HeaderVersion, t.ref.String())
	resp, err := t.base.RoundTrip(r)
	return resp, errors.Trace(err)
}

// CloseIdleConnections closes the idle connections of the underlying transport.
func (t directTransport) CloseIdleConnections() { t.base.CloseIdleConnections() }

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
	opts.EngineCapacity, opts.MaxRunning = maxBenchConns, maxBenchConns
	c, err := cluster.Start(running, opts)
	if err != nil {
		return err
	}
	customers, err := c.SetUp(ctx)
	if err != nil {
		return err
	}
	transport := func() bounded.RoundTripper {
		return bounded.Transport(&http.Transport{MaxIdleConnsPerHost: maxBenchConns, DisableCompression: true})
	}
	b := &bench{
		cluster: c,
		direct: caller.Client{
			Address: c.Engines[0].Address(),
			HTTP:    &http.Client{Transport: directTransport{base: transport(), ref: cluster.Small1}},
		},
		viaEntry: caller.Client{Address: c.Entries[0].Address(), Key: customers[0].Key, HTTP: &http.Client{Transport: transport()}},
	}
	err = measure(ctx, b)
	stop()
	c.Wait() //nolint:errcheck // the measurement is complete
	return err
}

// run opens the round's streams with the client and reads each to its end.
func (b *bench) run(ctx context.Context, client caller.Client, round benchRound) benchSample {
	sample := benchSample{firstToken: hdrhistogram.New(minMicros, maxMicros, 3)}
	b.round++
	start, cpuBefore := clock.WallClock.Now(), processCPUTime()
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
			reply, firstToken, err := b.stream(ctx, client, fmt.Sprintf("bench-%d-%d", b.round, i), round.tokens, due)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || !reply.Complete {
				sample.failed++
				sample.reason = fmt.Sprint(err, reply.Problem)
				return
			}
			sample.tokens += reply.Tokens
			sample.firstToken.RecordValue(max(firstToken.Microseconds(), minMicros)) //nolint:errcheck // the value is in range
		})
	}
	streams.Wait()
	sample.cpuTime = processCPUTime() - cpuBefore
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

// processCPUTime returns the user and system CPU time of this process so far, or
// 0 when the kernel does not tell.
func processCPUTime() time.Duration {
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

// firstTokenMillis returns a percentile, from 0 to 100, of the time to the
// first token in milliseconds.
func (s benchSample) firstTokenMillis(percentile float64) float64 {
	return float64(s.firstToken.ValueAtPercentile(percentile)) / 1000
}

// merge merges the figures of another round into this sample.
func (s *benchSample) merge(other benchSample) {
	if s.firstToken == nil {
		s.firstToken = hdrhistogram.New(minMicros, maxMicros, 3)
	}
	s.firstToken.Merge(other.firstToken)
	s.cpuTime += other.cpuTime
	s.tokens += other.tokens
	s.failed += other.failed
}
