package bounded_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/clock"

	"rosereach/core/backend"
	"rosereach/core/version"
	iobackend "rosereach/io/backend"
	"rosereach/io/bounded"
	"rosereach/io/caller"
	"rosereach/io/member"
	"rosereach/io/operator"
	"rosereach/io/platform"
	"rosereach/io/upstream"
)

const (
	// sentBytes is how much a server sends that knows no end.
	sentBytes = 200 << 20

	callTimeout = 10 * time.Second
)

// headBound is the most that a client may hold of a head, or beside a body.
const headBound = 4 << 20

// growing is how many times its content a buffer holds that doubles.
const growing = 3

type sending struct {
	name, start, rest string
	isBody            bool
}

// client is a client that reads bodies up to a size.
type client struct {
	most int
	call func(ctx context.Context, address string)
}

// endlessAnswers are answers without an end.
func endlessAnswers() []sending {
	const ok = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	long := strings.Repeat("x", 8<<10)
	chunk := "2000\r\n" + long + "\r\n"
	text := `{"choices":[{"delta":{"content":"` + long + `"}}],"id":"r","offset":0}`
	return []sending{
		{"status line", "HTTP/1.1 200 O", long, false},
		{"head in one line", "HTTP/1.1 200 OK\r\nA: ", long, false},
		{"head in lines", "HTTP/1.1 200 OK\r\n", "A: " + long + "\r\n", false},
		{"head in short lines", "HTTP/1.1 200 OK\r\n", strings.Repeat("A:\r\n", 1000), false},
		{"interim answers", "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100), false},
		{"one interim answer", "HTTP/1.1 103 Early Hints\r\n", "A: " + long + "\r\n", false},
		{"no HTTP", "", long, false},
		{"body by length", ok + "Content-Length: 1000000000\r\n\r\n\"", long, true},
		{"body by close", ok + "\r\n\"", long, true},
		{"body in chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", chunk, true},
		{"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n5;", long, false},
		{"trailers", ok + "Transfer-Encoding: chunked\r\n\r\n1\r\n1\r\n0\r\n", "A: " + long + "\r\n", false},
		{"body of a refusal", "HTTP/1.1 503 No\r\nContent-Type: application/problem+json\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, true},
		{"event", ok + "\r\ndata: ", long, true},
		{"comments", ok + "\r\n", ": " + long + "\n\n", true},
		{"events", ok + "\r\n", "data: " + text + "\n\n", true},
		{"protocol switch", "HTTP/1.1 101 Switching Protocols\r\n", "A: " + long + "\r\n", false},
	}
}

// endlessServer starts a server that answers every request so. Sent is how much it has sent.
func endlessServer(t *testing.T, a sending) (address string, sent *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	sent = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				io.WriteString(c, a.start)
				rest := []byte(a.rest)
				for n := 0; err == nil && n < sentBytes; {
					var m int
					m, err = c.Write(rest)
					n += m
					sent.Add(int64(m))
				}
			}()
		}
	}()
	return l.Addr().String(), sent
}

// heldWhile returns the most that the process held while f ran, beyond what it held before.
func heldWhile(f func()) uint64 {
	held := func() uint64 {
		live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
		runtime.GC()
		metrics.Read(live)
		return live[0].Value.Uint64()
	}
	before := held()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	most := before
	for {
		select {
		case <-done:
			return most - before
		case <-time.After(time.Millisecond):
			most = max(most, held())
		}
	}
}

// An answer without an end takes no more of a client's memory than a bound, however it is sent.
func TestEndlessAnswersAreBounded(t *testing.T) {
	ref, err := version.ParseRef("m@1")
	if err != nil {
		t.Fatal(err)
	}
	pooled := iobackend.NewClient(clock.WallClock, 1)
	for name, c := range map[string]client{
		"backend stream": {1 << 20, func(ctx context.Context, address string) {
			pooled.Stream(ctx, iobackend.ChatCall{Address: address, RequestID: "r", Version: ref}, func(iobackend.Piece) error { return nil })
		}},
		"backend plain": {16 << 20, func(ctx context.Context, address string) {
			pooled.Plain(ctx, iobackend.PlainCall{Address: address, RequestID: "r", Method: "POST", Path: "/"})
		}},
		"backend lookup": {1 << 20, func(ctx context.Context, address string) { pooled.LookUp(ctx, address, "r") }},
		"announcement": {0, func(ctx context.Context, address string) {
			iobackend.Announce(ctx, bounded.Client, address, "k", backend.Announcement{})
		}},
		"caller stream": {16 << 20, func(ctx context.Context, address string) {
			caller.Client{Address: address}.Chat(ctx, caller.ChatRequest{Stream: true}, caller.CallOptions{})
		}},
		"caller": {16 << 20, func(ctx context.Context, address string) {
			caller.Client{Address: address}.FindAddresses(ctx, "r", "z")
		}},
		"operator": {32 << 20, func(ctx context.Context, address string) { operator.Client{Address: address}.Status(ctx) }},
		"member": {0, func(ctx context.Context, address string) {
			if c, err := member.Dial(ctx, address, "k", member.Peer{ID: "p"}, nil); err == nil {
				c.Close()
			}
		}},
		"platform": {4 << 20, func(ctx context.Context, address string) { platform.Client{}.CollectRatings(ctx, address, "c") }},
		"upstream": {0, func(ctx context.Context, address string) {
			a, err := upstream.NewClient(clock.WallClock).Do(ctx, upstream.Call{Address: address, Method: "GET", Host: "h", Target: "/"}, func() error { return nil })
			if err == nil {
				io.CopyN(io.Discard, a, 1<<20)
				a.Discard()
			}
		}},
	} {
		for _, a := range endlessAnswers() {
			t.Run(name+" "+a.name, func(t *testing.T) {
				address, sent := endlessServer(t, a)
				ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
				defer cancel()
				bound := uint64(headBound)
				if a.isBody {
					bound += growing * uint64(c.most)
				}
				if held := heldWhile(func() { c.call(ctx, address) }); held > bound {
					t.Errorf("%d MB are held, of %d MB sent", held>>20, sent.Load()>>20)
				}
			})
		}
	}
}
