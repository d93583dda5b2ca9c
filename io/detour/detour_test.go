package detour_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"rosereach/io/detour"
)

const key = "member key"

// full makes relays take no more connections.
var full atomic.Bool

// relay starts an instance that connects to the given servers by id.
func relay(t *testing.T, servers map[string]string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := detour.Server{Key: key, Take: func() bool { return !full.Load() }, Release: func() {}, Connect: func(ctx context.Context, target detour.Target) (net.Conn, detour.Status) {
		address, ok := servers[target.Server]
		if !ok {
			return nil, detour.UnknownServer
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, detour.ServerRefused
		}
		return conn, detour.Connected
	}}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// refusing returns an address that refuses connections. Its port is taken until the test ends,
// so that no listener gets it.
func refusing(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	address, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", address.(*syscall.SockaddrInet4).Port)
}

// server serves one connection.
func server(t *testing.T, serve func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		if conn, err := l.Accept(); err == nil {
			serve(conn.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func dial(t *testing.T, address, server string) net.Conn {
	t.Helper()
	conn, err := detour.Dial(context.Background(), address, key, detour.Target{Server: server, Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// An answer that ends with its connection arrives whole, and its end is clean.
func TestBytesPassBothWays(t *testing.T) {
	address := server(t, func(c *net.TCPConn) {
		request := make([]byte, 4)
		io.ReadFull(c, request)
		c.Write(append(request, make([]byte, 100_000)...))
		c.Close()
	})
	conn := dial(t, relay(t, map[string]string{"s": address}), "s")
	conn.Write([]byte("ping"))
	got, err := io.ReadAll(conn)
	if err != nil || len(got) != 100_004 || string(got[:4]) != "ping" {
		t.Fatalf("%d bytes, %v", len(got), err)
	}
}

// An answer that is reset on the way must not look complete.
func TestResetIsPassedOn(t *testing.T) {
	address := server(t, func(c *net.TCPConn) {
		io.ReadFull(c, make([]byte, 4))
		c.Write([]byte("part"))
		time.Sleep(50 * time.Millisecond) // the part arrives first
		c.SetLinger(0)
		c.Close()
	})
	conn := dial(t, relay(t, map[string]string{"s": address}), "s")
	conn.Write([]byte("ping"))
	if got, err := io.ReadAll(conn); err == nil {
		t.Fatalf("%q ends cleanly", got)
	}
}

// The server's connection ends when the caller's does.
func TestCloseEndsTheServersConnection(t *testing.T) {
	var once sync.Once
	ended := make(chan struct{})
	address := server(t, func(c *net.TCPConn) {
		io.Copy(io.Discard, c)
		once.Do(func() { close(ended) })
	})
	conn := dial(t, relay(t, map[string]string{"s": address}), "s")
	conn.Write([]byte("ping"))
	conn.Close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the server's connection goes on")
	}
}

// Nothing reaches a server for an instance without the member key, and only servers that the
// relay knows are connected to.
func TestDetourIsRefused(t *testing.T) {
	reached := make(chan struct{}, 1)
	address := relay(t, map[string]string{"s": server(t, func(*net.TCPConn) { reached <- struct{}{} }), "gone": refusing(t)})
	for _, c := range []struct {
		key, server string
		want        error
	}{
		{"other key", "s", detour.ErrNoDetour}, {key, "unknown", detour.ErrNoDetour}, {key, "gone", detour.ErrServerUnreachable}, {key, "gone", syscall.ECONNREFUSED},
	} {
		if _, err := detour.Dial(context.Background(), address, c.key, detour.Target{Server: c.server, Incarnation: 1}); !errors.Is(err, c.want) {
			t.Errorf("server %q: %v", c.server, err)
		}
	}
	full.Store(true)
	defer full.Store(false)
	if _, err := detour.Dial(context.Background(), address, key, detour.Target{Server: "s", Incarnation: 1}); !errors.Is(err, detour.ErrNoDetour) {
		t.Errorf("at a full relay: %v", err)
	}
	select {
	case <-reached:
		t.Error("the server was reached")
	default:
	}
}

// The reset of a server in the middle of its answer arrives as one while a long request is
// still being passed on: the write to the server took the reset, and the answer, without a
// length, ended as if it were complete.
func TestResetWhileWritingIsPassedOn(t *testing.T) {
	for range 10 {
		blocked := make(chan struct{})
		address := server(t, func(c *net.TCPConn) {
			io.ReadFull(c, make([]byte, 4))
			c.Write([]byte("part"))
			<-blocked
			c.SetLinger(0)
			c.Close()
		})
		conn := dial(t, relay(t, map[string]string{"s": address}), "s")
		// Writes until the relay waits for the server, and then only reads, so that no write
		// of this side takes the reset in turn.
		conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		for piece := make([]byte, 64<<10); ; {
			if _, err := conn.Write(piece); err != nil {
				break
			}
		}
		close(blocked)
		if got, err := io.ReadAll(conn); err == nil {
			t.Fatalf("%q ends cleanly", got)
		}
	}
}
