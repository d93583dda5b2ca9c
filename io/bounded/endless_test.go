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

// headBound is the most that a client may hold of a head.
const headBound = 4 << 20

type sending struct {
	name, start, rest string
}

// endlessAnswers are answers without an end.
func endlessAnswers() []sending {
	const ok = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	long := strings.Repeat("x", 8<<10)
	return []sending{
		{"status line", "HTTP/1.1 200 O", long},
		{"head in one line", "HTTP/1.1 200 OK\r\nA: ", long},
		{"head in lines", "HTTP/1.1 200 OK\r\n", "A: " + long + "\r\n"},
		{"head in short lines", "HTTP/1.1 200 OK\r\n", strings.Repeat("A:\r\n", 1000)},
		{"interim answers", "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)},
		{"one interim answer", "HTTP/1.1 103 Early Hints\r\n", "A: " + long + "\r\n"},
		{"no HTTP", "", long},
		{"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n5;", long},
		{"trailers", ok + "Transfer-Encoding: chunked\r\n\r\n1\r\n1\r\n0\r\n", "A: " + long + "\r\n"},
		{"protocol switch", "HTTP/1.1 101 Switching Protocols\r\n", "A: " + long + "\r\n"},
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

// A head without an end takes no more of a client's memory than a bound, however it is sent.
func TestEndlessHeadsAreBounded(t *testing.T) {
	ref, err := version.ParseRef("m@1")
	if err != nil {
		t.Fatal(err)
	}
	pooled := iobackend.NewClient(clock.WallClock, 1)
	for name, call := range map[string]func(ctx context.Context, address string){
		"backend stream": func(ctx context.Context, address string) {
			pooled.Stream(ctx, iobackend.ChatCall{Address: address, RequestID: "r", Version: ref}, func(iobackend.Piece) error { return nil })
		},
		"backend plain": func(ctx context.Context, address string) {
			pooled.Plain(ctx, iobackend.PlainCall{Address: address, RequestID: "r", Method: "POST", Path: "/"})
		},
		"backend lookup": func(ctx context.Context, address string) { pooled.LookUp(ctx, address, "r") },
		"announcement": func(ctx context.Context, address string) {
			iobackend.Announce(ctx, bounded.Client, address, "k", backend.Announcement{})
		},
		"caller stream": func(ctx context.Context, address string) {
			caller.Client{Address: address}.Chat(ctx, caller.ChatRequest{Stream: true}, caller.CallOptions{})
		},
		"caller": func(ctx context.Context, address string) {
			caller.Client{Address: address}.FindAddresses(ctx, "r", "z")
		},
		"operator": func(ctx context.Context, address string) { operator.Client{Address: address}.Status(ctx) },
		"member": func(ctx context.Context, address string) {
			if c, err := member.Dial(ctx, address, "k", member.Peer{ID: "p"}, nil); err == nil {
				c.Close()
			}
		},
		"platform": func(ctx context.Context, address string) { platform.Client{}.CollectRatings(ctx, address, "c") },
		"upstream": func(ctx context.Context, address string) {
			a, err := upstream.NewClient(clock.WallClock).Do(ctx, upstream.Call{Address: address, Method: "GET", Host: "h", Target: "/"}, func() error { return nil })
			if err == nil {
				io.CopyN(io.Discard, a, 1<<20)
				a.Discard()
			}
		},
	} {
		for _, a := range endlessAnswers() {
			t.Run(name+" "+a.name, func(t *testing.T) {
				address, sent := endlessServer(t, a)
				ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
				defer cancel()
				if held := heldWhile(func() { call(ctx, address) }); held > headBound {
					t.Errorf("%d MB are held, of %d MB sent", held>>20, sent.Load()>>20)
				}
			})
		}
	}
}
