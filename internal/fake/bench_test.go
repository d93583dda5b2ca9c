package fake

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/clock"

	"rosereach/core/request"
	"rosereach/core/version"
	iobackend "rosereach/io/backend"
)

// BenchmarkEngineStreams measures the CPU time per token with several hundred
// concurrent streams. It includes the client's reading of the streams.
func BenchmarkEngineStreams(b *testing.B) {
	const streams, tokens = 400, 200
	ref := version.Ref{Model: "small", Version: "v1"}
	engine := NewEngine(EngineConfig{
		ID: "engine-1", Versions: []version.Ref{ref}, Capacity: streams, CacheTokens: 1 << 20,
		StepTime: 5 * time.Millisecond, LoadDelay: time.Second, Clock: clock.WallClock,
	})
	go engine.Run(b.Context())
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	body, err := json.Marshal(iobackend.ChatRequest{Messages: []request.Message{{Content: "word"}}, MaxTokens: tokens, Stream: true})
	if err != nil {
		b.Fatal(err)
	}
	startCPU := processorTime(b)
	b.ResetTimer()
	for range b.N {
		var wg sync.WaitGroup
		for i := range streams {
			wg.Go(func() {
				req, _ := http.NewRequest(http.MethodPost, server.URL+iobackend.PathChat, bytes.NewReader(body))
				req.Header.Set(iobackend.HeaderVersion, ref.String())
				req.Header.Set(iobackend.HeaderRequestID, strconv.Itoa(i))
				resp, err := client.Do(req)
				if err != nil {
					b.Error(err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			})
		}
		wg.Wait()
	}
	used := processorTime(b) - startCPU
	b.ReportMetric(float64(used.Nanoseconds())/1000/float64(b.N*streams*tokens), "cpu-us/token")
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
