package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"rosereach/core/backend"
	"rosereach/core/route"
	"rosereach/io/detour"
)

// killableListener closes its connections in order with it, as the kernel does those of a process that
// is killed.
type killableListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *killableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conns = append(l.conns, c)
	}
	return c, err
}

func (l *killableListener) kill() {
	l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.Close()
	}
}

// An answer without a length that passed through another entry looked whole when that entry was killed.
func TestKilledRelayIsNoEndOfAnAnswer(t *testing.T) {
	for _, kind := range []route.Kind{route.Safe, route.Unsafe, route.Streaming} {
		for _, killed := range []bool{true, false} {
			t.Run(fmt.Sprint(kind, "/killed=", killed), func(t *testing.T) {
				tcp, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				l := &killableListener{Listener: tcp}
				relay := detour.Server{Key: "key", Take: func() bool { return true }, Release: func() {}, Connect: func(ctx context.Context, target detour.Target) (net.Conn, detour.Status) {
					conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", target.Server)
					if err != nil {
						return nil, detour.ServerRefused
					}
					return conn, detour.Connected
				}}
				ended := make(chan error, 1)
				ctx, cancel := context.WithCancel(context.Background())
				go func() { ended <- relay.Serve(ctx, l) }()
				defer func() { cancel(); <-ended }()
				r := newHarness(t)
				r.plan()
				r.withoutResumption()
				r.entry.forwarder.client.DialContext = func(ctx context.Context, address string, _ func(string) bool) (net.Conn, error) {
					conn, err := detour.Dial(ctx, tcp.Addr().String(), "key", detour.Target{Server: address, Incarnation: 1})
					if err != nil {
						return nil, err
					}
					return r.entry.forwarder.detours.detoured("s", "relay", "", conn), nil
				}
				const text = "id: 1\ndata: 1\n\n"
				r.announce("a", listenRaw(t, func(conn net.Conn) {
					defer conn.Close()
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
						return
					}
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: id-1\r\n\r\n"+text)
					if killed {
						waitFor(t, "the answer at the entry", func() bool { return r.entry.forwarder.isAlive("a") })
						l.kill()
						io.Copy(io.Discard, conn)
					}
				}), 1, backend.Serving)
				got, err := r.sendID("id-1", kind)
				if killed == (err == nil) {
					t.Errorf("status %d, %q, %v", got.status, got.text(), err)
				}
			})
		}
	}
}
