package httpd_test

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rosereach/internal/httpd"
)

// gatedConn holds the first read after it was armed until it may go on.
type gatedConn struct {
	*net.TCPConn
	gate *readGate
}

type readGate struct {
	armed, taken atomic.Bool
	held, goOn   chan struct{}
	conn         chan *net.TCPConn
}

func (c gatedConn) Read(p []byte) (int, error) {
	if c.gate.armed.Load() && c.gate.taken.CompareAndSwap(false, true) {
		close(c.gate.held)
		<-c.gate.goOn
	}
	return c.TCPConn.Read(p)
}

type gatedListener struct {
	net.Listener
	gate *readGate
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.gate.conn <- c.(*net.TCPConn)
	return gatedConn{c.(*net.TCPConn), l.gate}, nil
}

// A request that has arrived on a kept connection when a stop ends the wait for it is answered
// without TLS, and dropped with it.
func TestNextRequestThatHasArrivedAtTheStopIsAnsweredWithTLS(t *testing.T) {
	for _, withTLS := range []bool{false, true} {
		gate := &readGate{held: make(chan struct{}), goOn: make(chan struct{}), conn: make(chan *net.TCPConn, 1)}
		certificates := httptest.NewTLSServer(http.NotFoundHandler())
		defer certificates.Close()
		s := startStoppable(t, httpd.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, "ok")
			time.Sleep(20 * time.Millisecond) // http.Server reads ahead
			gate.armed.Store(true)
		})}, func(l net.Listener) net.Listener {
			l = gatedListener{l, gate}
			if withTLS {
				l = tls.NewListener(l, &tls.Config{Certificates: certificates.TLS.Certificates})
			}
			return l
		})
		c := dial(t, s.address)
		if withTLS {
			c = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
		}
		r := bufio.NewReader(c)
		ask := func() int {
			if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			return 0
		}
		ask()
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		<-gate.held
		ask()
		raw, err := (<-gate.conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		for n := 0; n <= 0; time.Sleep(time.Millisecond) {
			raw.Control(func(fd uintptr) {
				n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			})
		}
		s.stop()
		time.Sleep(100 * time.Millisecond) // the wait has ended
		close(gate.goOn)
		resp, err = http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("TLS %v: %v", withTLS, err)
		}
		if err == nil {
			resp.Body.Close()
		}
		s.await(t)
	}
}
