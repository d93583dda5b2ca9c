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
	// benchConns bounds the idle connections of the measuring client.
	benchConns = 8192

	// The range of first-token histograms, in microseconds.
	leastMicros = 1
	mostMicros  = 60_000_000
)

type (
	// bench is one control, one entry and one engine without proxies, and the
	// clients that reach the engine straight or through the entry.
	bench struct {
		cluster  *cluster.Cluster
		straight caller.Client
		via      caller.Client
		next     int
	}

	// benchRound is a set of streams that are opened at a fixed rate.
	benchRound struct {
		streams int
		rate    float64
		tokens  int64
	}

	// benchSample is what a round cost.
	benchSample struct {
		processor time.Duration
		first     *hdrhistogram.Histogram
		tokens    int64
		failed    int
		reason    string
	}

	// straightTransport makes a caller's request one that engines understand.
	straightTransport struct {
		next *http.Transport
		ref  version.Ref
	}
)

// RoundTrip adds the headers that an entry would set.
func (t straightTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(iobackend.HeaderRequestID, r.Header.Get(caller.HeaderRequestID))
	r.Header.Set(iobackend.HeaderVersion, t.ref.String())
	resp, err := t.next.RoundTrip(r)
	return resp, errors.Trace(err)
}

// CloseIdleConnections passes the call on to the transport.
func (t straightTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// withBench runs the measurement on a fresh bench.
func withBench(ctx context.Context, step time.Duration, measure func(context.Context, *bench) error) error {
	folder, err := os.MkdirTemp("", "rosereach-bench-")
	if err != nil {
		return errors.Trace(err)
	}
	defer os.RemoveAll(folder) //nolint:errcheck // a leftover folder does no harm
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
	c.Wait() //nolint:errcheck // the measurement has ended
	return err
}

// run opens the round's streams through the client and reads them to the end.
func (b *bench) run(ctx context.Context, client caller.Client, round benchRound) benchSample {
	sample := benchSample{first: hdrhistogram.New(leastMicros, mostMicros, 3)}
	b.next++
	began, spent := clock.WallClock.Now(), processorTime()
	var (
		open sync.WaitGroup
		mu   sync.Mutex
	)
	for i := range round.streams {
		due := began.Add(time.Duration(float64(i) / round.rate * float64(time.Second)))
		if pause(ctx, due.Sub(clock.WallClock.Now())) != nil {
			break
		}
		open.Go(func() {
			reply, first, err := b.stream(ctx, client, fmt.Sprintf("bench-%d-%d", b.next, i), round.tokens, due)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || !reply.Whole {
				sample.failed++
				sample.reason = fmt.Sprint(err, reply.Problem)
				return
			}
			sample.tokens += reply.Tokens
			sample.first.RecordValue(max(first.Microseconds(), leastMicros)) //nolint:errcheck // the value is in range
		})
	}
	open.Wait()
	sample.processor = processorTime() - spent
	return sample
}

// stream reads one answer and returns when its first token came, counted from
// when the request was due.
func (b *bench) stream(ctx context.Context, client caller.Client, id string, tokens int64, due time.Time) (caller.Reply, time.Duration, error) {
	var first time.Duration
	body := caller.ChatRequest{
		Model: cluster.Small1.String(), MaxTokens: tokens, Stream: true,
		Messages: []request.Message{{Role: "user", Content: "Which shops on this street stand empty?"}},
	}
	reply, err := client.Chat(ctx, body, caller.CallOptions{RequestID: id, OnText: func(string) {
		if first == 0 {
			first = clock.WallClock.Now().Sub(due)
		}
	}})
	return reply, first, err
}

// processorTime returns the processor time of this process so far.
func processorTime() time.Duration {
	var use syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &use) != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// liveBytes returns the bytes of heap and stacks in use after a collection.
func liveBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// millisAt returns a percentile of first tokens in milliseconds.
func (s benchSample) millisAt(q float64) float64 { return float64(s.first.ValueAtPercentile(q)) / 1000 }

// add puts another round's figures to this one's.
func (s *benchSample) add(more benchSample) {
	if s.first == nil {
		s.first = hdrhistogram.New(leastMicros, mostMicros, 3)
	}
	s.first.Merge(more.first)
	s.processor += more.processor
	s.tokens += more.tokens
	s.failed += more.failed
}
