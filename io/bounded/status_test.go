package bounded_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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
)

// lineServer starts a server that answers each request with the status line and the body.
// Reused counts the requests that came on a connection in use.
func lineServer(t *testing.T, line, body string) (address string, reused *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	reused = new(atomic.Int64)
	serve := func(conn net.Conn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			reused.Add(int64(min(n, 1)))
			io.Copy(io.Discard, req.Body)
			io.WriteString(conn, fmt.Sprintf("%s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body))
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String(), reused
}

// clients returns a call of each client. Its error is that of the client.
func clients(t *testing.T) map[string]func(ctx context.Context, address string) error {
	t.Helper()
	ref, err := version.ParseRef("m@1")
	if err != nil {
		t.Fatal(err)
	}
	pooled := iobackend.NewClient(clock.WallClock, 1)
	plain := func(isIdempotent bool) func(context.Context, string) error {
		return func(ctx context.Context, address string) error {
			_, err := pooled.Plain(ctx, iobackend.PlainCall{Address: address, RequestID: "r", Method: "POST", Path: "/", Idempotent: isIdempotent})
			return err
		}
	}
	return map[string]func(ctx context.Context, address string) error{
		"backend plain": plain(true), "backend plain, unsafe": plain(false),
		"backend stream": func(ctx context.Context, address string) error {
			_, err := pooled.Stream(ctx, iobackend.ChatCall{Address: address, RequestID: "r", Version: ref}, func(iobackend.Piece) error { return nil })
			return err
		},
		"backend lookup": func(ctx context.Context, address string) error {
			_, err := pooled.LookUp(ctx, address, "r")
			return err
		},
		"backend cancel": func(ctx context.Context, address string) error { return pooled.Cancel(ctx, address, "r") },
		"announcement": func(ctx context.Context, address string) error {
			return iobackend.Announce(ctx, bounded.Client, address, "k", backend.Announcement{})
		},
		"caller": func(ctx context.Context, address string) error {
			_, err := caller.Client{Address: address}.Chat(ctx, caller.ChatRequest{}, caller.CallOptions{})
			return err
		},
		"caller stream": func(ctx context.Context, address string) error {
			_, err := caller.Client{Address: address}.Chat(ctx, caller.ChatRequest{Stream: true}, caller.CallOptions{})
			return err
		},
		"operator": func(ctx context.Context, address string) error {
			_, err := operator.Client{Address: address}.Status(ctx)
			return err
		},
		"member": func(ctx context.Context, address string) error {
			_, err := member.Dial(ctx, address, "k", member.Peer{ID: "p"}, nil)
			return err
		},
		"platform order": func(ctx context.Context, address string) error {
			return platform.Client{}.Order(ctx, address, platform.Order{})
		},
		"platform ratings": func(ctx context.Context, address string) error {
			_, err := platform.Client{}.CollectRatings(ctx, address, "c")
			return err
		},
	}
}

// A server answered with a status that is none, or in another version. Clients took such an
// answer for one with a body of JSON, a recorded answer or a request that is found, and the
// connection for one in order.
func TestStatusThatIsNoneIsAnError(t *testing.T) {
	for name, call := range clients(t) {
		for _, line := range []string{
			"HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 +20 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X",
			"HTTP/1.1 101 X", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "ICY 200 OK", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X",
		} {
			for _, body := range []string{"", "{}"} {
				t.Run(name+"/"+line+"/"+body, func(t *testing.T) {
					address, reused := lineServer(t, line, body)
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					for range 2 {
						if err := call(ctx, address); err == nil || ctx.Err() != nil {
							t.Errorf("%v, %v", err, ctx.Err())
						}
					}
					if n := reused.Load(); n != 0 {
						t.Errorf("%d requests are sent behind such an answer", n)
					}
				})
			}
		}
	}
}
