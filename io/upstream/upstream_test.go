package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/io/upstream"
)

// server starts a listener that serves the nth connection with the nth function.
func server(t *testing.T, serve ...func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for _, f := range serve {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); f(c) }()
		}
	}()
	return l.Addr().String()
}

// answer returns a function that reads one request and writes the text.
func answer(text string) func(net.Conn) {
	return func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.WriteString(c, text)
		}
	}
}

func do(t *testing.T, c *upstream.Client, address string) (string, error) {
	t.Helper()
	a, err := c.Do(context.Background(), upstream.Call{Address: address, Method: "GET", Host: "h", Target: "/a//b?x=%2F"}, func() error { return nil })
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func TestRequestIsSentUnchanged(t *testing.T) {
	lines := make(chan string, 20)
	address := server(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			line, err := r.ReadString('\n')
			lines <- strings.TrimSpace(line)
			if err != nil || line == "\r\n" {
				break
			}
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	client := upstream.NewClient(clock.WallClock)
	a, err := client.Do(context.Background(), upstream.Call{
		Address: address, Method: "GET", Host: "ho.example", Target: "/a//b/../c?x=%2F", Header: map[string][]string{"X-One": {"1"}},
	}, func() error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	for _, want := range []string{"GET /a//b/../c?x=%2F HTTP/1.1", "Host: ho.example", "X-One: 1", ""} {
		if got := <-lines; got != want {
			t.Errorf("line %q, want %q", got, want)
		}
	}
}

// A malformed or truncated answer is an error, and is never returned as a
// complete one.
func TestMalformedAnswersAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"cut in the body":   "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfour",
		"cut in a chunk":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nfour",
		"no last chunk":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n",
		"cut in the header": "HTTP/1.1 200 OK\r\nContent-Le",
		"no answer":         "",
		"other bytes":       "\x00\x01\x02\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := server(t, answer(text))
			if body, err := do(t, upstream.NewClient(clock.WallClock), address); err == nil || errors.Is(err, upstream.ErrNotSent) {
				t.Fatalf("body %q, error %v", body, err)
			}
		})
	}
}

// An answer without a length ends when the server closes the connection. A
// reset means that it is truncated.
func TestAnswerWithoutLength(t *testing.T) {
	address := server(t, answer("HTTP/1.1 200 OK\r\n\r\nwhole"), func(c net.Conn) {
		answer("HTTP/1.1 200 OK\r\n\r\npart")(c)
		c.(*net.TCPConn).SetLinger(0)
	})
	client := upstream.NewClient(clock.WallClock)
	if body, err := do(t, client, address); err != nil || body != "whole" {
		t.Fatalf("body %q, error %v", body, err)
	}
	if body, err := do(t, client, address); err == nil {
		t.Fatalf("answer %q returned as complete after a reset", body)
	}
}

// Bytes that follow an answer on its connection are never used as the answer to
// the next request, whether they arrive with the first answer or after it.
func TestExtraAnswerIsNeverUsed(t *testing.T) {
	one := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
	late := make(chan struct{})
	address := server(t,
		answer(one+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"),
		func(c net.Conn) {
			answer(one)(c)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
			close(late)
			io.Copy(io.Discard, c)
		},
		answer(one))
	client := upstream.NewClient(clock.WallClock)
	for i := range 3 {
		if i == 2 {
			<-late
		}
		if body, err := do(t, client, address); err != nil || body != "one" {
			t.Fatalf("request %d gets %q, %v", i, body, err)
		}
	}
}

// A connection that the server closed while it was idle is not reused. A request
// sent on it would fail with an unknown outcome.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	one := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
	address := server(t, func(c net.Conn) { answer(one)(c); c.Close(); close(closed) }, answer(one))
	client := upstream.NewClient(clock.WallClock)
	for range 2 {
		if body, err := do(t, client, address); err != nil || body != "one" {
			t.Fatalf("%q, %v", body, err)
		}
		<-closed
	}
}

func TestNotSentErrors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if _, err := do(t, upstream.NewClient(clock.WallClock), l.Addr().String()); !errors.Is(err, upstream.ErrNotSent) {
		t.Fatalf("a refused connection returns %v", err)
	}
	address := server(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			t.Error("the request was sent")
		}
	})
	_, err = upstream.NewClient(clock.WallClock).Do(context.Background(), upstream.Call{Address: address, Method: "GET", Host: "h", Target: "/"},
		func() error { return errors.New("not any more") })
	if !errors.Is(err, upstream.ErrNotSent) {
		t.Fatalf("a failed check returns %v", err)
	}
}

func TestCancelClosesConnection(t *testing.T) {
	began, gone := make(chan struct{}), make(chan struct{})
	address := server(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err == nil {
			close(began)
			r.ReadByte()
			close(gone)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-began
		cancel()
	}()
	if _, err := upstream.NewClient(clock.WallClock).Do(ctx, upstream.Call{Address: address, Method: "GET", Host: "h", Target: "/"}, func() error { return nil }); err == nil {
		t.Fatal("no error")
	}
	<-gone
}

func ExampleClient() {
	client := upstream.NewClient(clock.WallClock)
	_, err := client.Do(context.Background(), upstream.Call{Address: "127.0.0.1:1", Method: "GET", Host: "h", Target: "/"}, func() error { return nil })
	fmt.Println(errors.Is(err, upstream.ErrNotSent))
	// Output: true
}

// The kernel reports a reset once. While a long request was still being written, the write got
// it, and the read returned the same as at the end of the connection: an answer without a
// length that was cut by a reset looked complete.
func TestResetWhileWritingIsNoEnd(t *testing.T) {
	const answers = 40
	for _, bodyBytes := range []int{0, 8 << 20} {
		for range answers {
			address := server(t, func(c net.Conn) {
				r := bufio.NewReader(c)
				if _, err := r.ReadString('\n'); err != nil {
					return
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
				time.Sleep(5 * time.Millisecond)
				c.(*net.TCPConn).SetLinger(0)
			})
			a, err := upstream.NewClient(clock.WallClock).Do(context.Background(), upstream.Call{
				Address: address, Method: "POST", Host: "h", Target: "/", Body: [][]byte{make([]byte, bodyBytes)},
			}, func() error { return nil })
			if err != nil {
				continue // the head was lost as well
			}
			if body, err := io.ReadAll(a); err == nil {
				t.Fatalf("a body of %d bytes: %q is complete", bodyBytes, body)
			}
			a.Discard()
		}
	}
}
