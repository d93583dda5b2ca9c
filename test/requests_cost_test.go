package test

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/clock"

	"rosereach/core/version"
	"rosereach/internal/fake"
	iobackend "rosereach/io/backend"
)

// ticksPerSecond is the rate of the clock ticks in which /proc counts processor
// time.
const ticksPerSecond = 100

// processUsage returns the processor time and the resident memory of a process.
func processUsage(b *testing.B, p *process) (time.Duration, int64) {
	b.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond, pages * int64(os.Getpagesize())
}

// startHighCapacityEngine runs a fake engine in this process, with the capacity for many
// streams.
func startHighCapacityEngine(b *testing.B, f *fleet, step time.Duration) {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	e := fake.NewEngine(fake.EngineConfig{
		ID: "engine-1", Incarnation: 1, Region: "central", Zone: "sanjose", Versions: []version.Ref{{Model: "small", Version: "v1"}},
		Capacity: 20_000, StepTime: step, Clock: clock.WallClock,
	})
	go e.Run(ctx)
	announceLocal(ctx, b, f, e.Handler(), e.Announcement)
}

// readStream sends one chat and returns the number of token events in its answer.
func readStream(b *testing.B, client *http.Client, address, key string, tokens int) int {
	body := fmt.Sprintf(`{"model":"small","messages":[{"role":"user","content":"x"}],"stream":true,"max_tokens":%d}`, tokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+iobackend.PathChat, strings.NewReader(body))
	if err != nil {
		b.Error(err)
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", rand.Text())
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || !bytes.HasSuffix(data, []byte("[DONE]\n\n")) {
		b.Errorf("answer was truncated after %d bytes: %v", len(data), err)
	}
	return bytes.Count(data, []byte("data: ")) - 2
}

// BenchmarkEntryToken reports an entry's processor time per streamed token, with
// an engine step of 26 ms.
func BenchmarkEntryToken(b *testing.B) {
	for _, streams := range []int{50, 400} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			const tokens = 200
			f := startFleet(b, 1)
			startHighCapacityEngine(b, f, 26*time.Millisecond)
			key := f.setUpDocuments("small@v1")
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
			for b.Loop() {
				before, _ := processUsage(b, f.entries[0])
				var all sync.WaitGroup
				var mu sync.Mutex
				sum := 0
				for range streams {
					all.Go(func() {
						n := readStream(b, client, f.entries[0].address, key, tokens)
						mu.Lock()
						defer mu.Unlock()
						sum += n
					})
				}
				all.Wait()
				after, _ := processUsage(b, f.entries[0])
				b.ReportMetric(float64((after-before).Microseconds())/float64(sum), "cpu-us/token")
			}
		})
	}
}

// BenchmarkEntryMemory reports an entry's resident memory per open stream. It
// opens 9,000 streams because each takes two of the 20,000 sockets that a process
// may open on the machine.
func BenchmarkEntryMemory(b *testing.B) {
	const (
		streams = 9_000
		tokens  = 20
	)
	f := startFleet(b, 0)
	f.entries = append(f.entries, startProcess(b, "entry", "--id", "entry-1", "--region", "central", "--availability-zone", "sanjose",
		"--controls", f.controls[0].address, "--member-key", f.memberKey, "--backend-key", f.backendKey,
		"--address-ttl", "1s", "--max-running", "20000", "--request-timeout", "5m"))
	startHighCapacityEngine(b, f, time.Second)
	key := f.setUpDocuments("small@v1")
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	for b.Loop() {
		_, idle := processUsage(b, f.entries[0])
		var all sync.WaitGroup
		for range streams {
			all.Go(func() { readStream(b, client, f.entries[0].address, key, tokens) })
		}
		peak := idle
		done := make(chan struct{})
		go func() {
			all.Wait()
			close(done)
		}()
		for waiting := true; waiting; {
			select {
			case <-done:
				waiting = false
			case <-time.After(100 * time.Millisecond):
				_, now := processUsage(b, f.entries[0])
				peak = max(peak, now)
			}
		}
		b.ReportMetric(float64(peak-idle)/streams, "bytes/stream")
	}
}
