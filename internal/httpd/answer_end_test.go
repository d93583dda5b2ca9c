package httpd_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/clock"

	"rosereach/core/overload"
	"rosereach/internal/httpd"
)

const lastChunk = "0\r\n\r\n"

type (
	// answering is a server whose handler waits to go on, writes an answer in chunks and returns.
	answering struct {
		*stoppable

		guard       *httpd.Guard
		begun, goOn chan struct{}
		lost        chan httpd.LostAnswer
	}

	// stuckListener accepts connections whose kernel has no room for last chunks, unless it grants a
	// larger buffer.
	stuckListener struct {
		net.Listener
		stuck  chan struct{}
		grants bool
	}

	stuckConn struct {
		*net.TCPConn
		listener      stuckListener
		closed, grown chan struct{}
		once          *sync.Once
	}

	// growingConn tells when the process asks for a larger buffer.
	growingConn struct {
		syscall.RawConn
		conn stuckConn
	}
)

func (l stuckListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := c.(*net.TCPConn)
	conn.SetWriteBuffer(4 << 10)
	return stuckConn{conn, l, make(chan struct{}), make(chan struct{}), &sync.Once{}}, nil
}

func (c stuckConn) Write(p []byte) (int, error) {
	if string(p) != lastChunk {
		return c.TCPConn.Write(p)
	}
	close(c.listener.stuck)
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-c.grown:
		return c.TCPConn.Write(p)
	}
}

func (c stuckConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

func (c stuckConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return growingConn{raw, c}, err
}

func (c growingConn) Control(f func(fd uintptr)) error {
	return c.RawConn.Control(func(fd uintptr) {
		before := sendBuffer(fd)
		if f(fd); c.conn.listener.grants && sendBuffer(fd) > before {
			close(c.conn.grown)
		}
	})
}

func sendBuffer(fd uintptr) int {
	n, _ := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF)
	return n
}

func startAnswering(t *testing.T, events int, wrap func(net.Listener) net.Listener) *answering {
	t.Helper()
	a := &answering{guard: httpd.NewGuard(overload.LimitsFor(0, 0), clock.WallClock, log.NewNopLogger()), begun: make(chan struct{}), goOn: make(chan struct{}), lost: make(chan httpd.LostAnswer, 10)}
	a.stoppable = startStoppable(t, httpd.Server{
		Guard: a.guard, Timeouts: httpd.Timeouts{Shutdown: noShutdown}, AnswerLost: func(l httpd.LostAnswer) { a.lost <- l },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			httpd.Identify(r.Context(), r.URL.Path[1:])
			a.begun <- struct{}{}
			<-a.goOn
			if r.URL.Path == "/closing" {
				w.Header().Set("Connection", "close")
			}
			for range events {
				io.WriteString(w, "id: 1\n\n\n")
			}
			http.NewResponseController(w).Flush()
		}),
	}, wrap)
	return a
}

// send sends a request and returns its connection when the handler runs.
func (a *answering) send(t *testing.T, path string) net.Conn {
	t.Helper()
	c := dial(t, a.address)
	io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	<-a.begun
	return c
}

func (a *answering) expectLost(t *testing.T, id string, end httpd.AnswerEnd) {
	t.Helper()
	select {
	case got := <-a.lost:
		if got.Request != id || got.End != end {
			t.Errorf("lost is %+v, want %s %s", got, id, end)
		}
	case <-time.After(10 * time.Second):
		t.Errorf("no answer is reported as lost")
	}
	if text, want := metricsOf(a.guard), fmt.Sprintf("rosereach_client_answers_total{end=%q} 1\n", end); !strings.Contains(text, want) {
		t.Errorf("no %s in\n%s", want, text)
	}
}

// awaitEnd waits until an answer is counted.
func (a *answering) awaitEnd(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !regexp.MustCompile(`rosereach_client_answers_total.* 1\n`).MatchString(metricsOf(a.guard)); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the answer does not end")
		}
	}
}

func TestWholeAnswersAreCountedAsSent(t *testing.T) {
	a := startAnswering(t, 1, nil)
	c := dial(t, a.address)
	answers := bufio.NewReader(c)
	for range 2 {
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		<-a.begun
		a.goOn <- struct{}{}
		if status := statusOf(t, answers); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	a.stop()
	a.await(t)
	if text := metricsOf(a.guard); !strings.Contains(text, `rosereach_client_answers_total{end="sent"} 2`+"\n") || len(a.lost) > 0 {
		t.Errorf("%d lost in\n%s", len(a.lost), text)
	}
}

// A caller left before its answer was written, and the request counted as answered.
func TestAnswerThatCannotBeWrittenIsReported(t *testing.T) {
	a := startAnswering(t, 32<<10, nil)
	c := a.send(t, "/left")
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
	a.goOn <- struct{}{}
	a.expectLost(t, "left", httpd.AnswerFailed)
}

// A stop ended between the return of a handler and the last chunk of its answer, and the request
// counted as answered.
func TestAnswerWithoutLastChunkIsReported(t *testing.T) {
	stuck := make(chan struct{})
	a := startAnswering(t, 1, func(l net.Listener) net.Listener { return stuckListener{l, stuck, false} })
	c := a.send(t, "/stuck")
	a.goOn <- struct{}{}
	<-stuck
	a.stop()
	a.expectLost(t, "stuck", httpd.AnswerUnsent)
	if got, _ := io.ReadAll(c); bytes.HasSuffix(got, []byte(lastChunk)) {
		t.Errorf("%q is whole", got)
	}
	a.await(t)
}

// A caller that read slowly lost the last chunk of an answer at the exit, though the kernel was asked
// for more room for the answers of handlers that still ran.
func TestExitMakesRoomForTheLastChunk(t *testing.T) {
	stuck := make(chan struct{})
	a := startAnswering(t, 1, func(l net.Listener) net.Listener { return stuckListener{l, stuck, true} })
	c := a.send(t, "/slow")
	a.goOn <- struct{}{}
	<-stuck
	a.stop()
	if got, _ := io.ReadAll(c); !bytes.HasSuffix(got, []byte(lastChunk)) {
		t.Errorf("%q is not whole", got)
	}
	a.await(t)
	if len(a.lost) > 0 {
		t.Errorf("lost: %+v", <-a.lost)
	}
}

// The next request, or the empty line that some clients send after a body, had arrived when a
// connection was closed after an answer. That reset it, and the answer's end was lost.
func TestDataBehindARequestDoesNotCutItsAnswer(t *testing.T) {
	const events = 32 << 10
	for name, rest := range map[string]string{"nothing": "", "next request": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok", "empty line": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			a := startAnswering(t, events, nil)
			c := a.send(t, "/closing")
			io.WriteString(c, rest)
			a.goOn <- struct{}{}
			a.awaitEnd(t)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if body, err := io.ReadAll(resp.Body); err != nil || strings.Count(string(body), "id: 1") != events {
				t.Errorf("%d bytes: %v", len(body), err)
			}
			if len(a.lost) > 0 {
				t.Errorf("lost: %+v", <-a.lost)
			}
		})
	}
}
