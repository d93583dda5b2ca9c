package fault

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// startEchoServer starts a TCP echo server and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func TestProxyFaults(t *testing.T) {
	for _, tc := range []struct {
		name string
		plan Plan
		want string
	}{
		{"pass", Plan{}, "hello"},
		{"refuse", Plan{RefuseNew: true}, ""},
		{"reset before the first byte", Plan{ResetAfterBytes: -1}, ""},
		{"reset after some bytes", Plan{ResetAfterBytes: 2}, "he"},
		{"reset after the last byte", Plan{ResetAfterIdle: time.Millisecond}, "hello"},
		{"delay", Plan{Delay: time.Millisecond, BytesPerSecond: 10_000}, "hello"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, err := Start(t.Context(), startEchoServer(t))
			if err != nil {
				t.Fatal(err)
			}
			p.SetPlan(tc.plan)
			c := dial(t, p)
			c.Write([]byte("hello"))
			got := make([]byte, len("hello"))
			n, _ := io.ReadFull(c, got)
			if string(got[:n]) != tc.want {
				t.Errorf("got %q, want %q", got[:n], tc.want)
			}
		})
	}
}

// A blackhole holds bytes back without closing the connection; they arrive
// once it ends.
func TestProxyBlackhole(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p, err := Start(ctx, startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	c := dial(t, p)
	got := make([]byte, 1)
	c.Write([]byte("a"))
	if _, err := io.ReadFull(c, got); err != nil {
		t.Fatal(err)
	}
	p.SetPlan(Plan{Blackhole: true})
	c.Write([]byte("b"))
	c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := c.Read(got); err == nil {
		t.Fatal("a byte passed through the blackhole")
	}
	p.SetPlan(Plan{})
	c.SetReadDeadline(time.Time{})
	if _, err := io.ReadFull(c, got); err != nil || got[0] != 'b' || p.Bytes() < 4 {
		t.Errorf("after the blackhole: %q, %v, %d bytes", got, err, p.Bytes())
	}
}

// A connection is reset only after its response has paused.
func TestProxyResetsIdleConnections(t *testing.T) {
	p, err := Start(t.Context(), startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	p.SetPlan(Plan{ResetAfterIdle: 20 * time.Millisecond})
	c := dial(t, p)
	got := make([]byte, 5)
	c.Write([]byte("hello"))
	if _, err := io.ReadFull(c, got); err != nil {
		t.Fatalf("the response was cut off: %v", err)
	}
	if _, err := c.Read(got); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("no reset after the response: %v", err)
	}
}

// A target that resets its connection resets the client's: a close in its place would look like
// the end of an answer without a length.
func TestProxyPassesResetOn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	read := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		io.WriteString(c, "hello")
		<-read
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}()
	p, err := Start(t.Context(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := dial(t, p)
	got := make([]byte, 5)
	if _, err := io.ReadFull(c, got); err != nil {
		t.Fatal(err)
	}
	close(read)
	if _, err := c.Read(got); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after a reset: %v", err)
	}
}
