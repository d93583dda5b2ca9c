package entry

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/clock"

	"rosereach/core/backend"
	"rosereach/core/route"
	"rosereach/platform"
)

// resetServer answers at once without a length, reads a part of the body, sends a part of the
// answer and resets the connection.
func resetServer(readBytes int64, runs *atomic.Int64) func(net.Conn) {
	return func(conn net.Conn) {
		defer conn.Close()
		req, err := http.ReadRequest(bufio.NewReader(io.LimitReader(conn, 4<<10)))
		if err != nil {
			return
		}
		runs.Add(1)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", req.Header.Get("Id"), streamText(1, 1))
		io.CopyN(io.Discard, conn, readBytes)
		time.Sleep(5 * time.Millisecond) // the answer is read before the reset
		conn.(*net.TCPConn).SetLinger(0)
	}
}

// upload is a request whose answer is cut by a reset while its body is on the way to the server.
type upload struct {
	kind                 route.Kind
	protocol             string
	bodyBytes, readBytes int64
	withTLS, detour      bool
}

// uploads returns all uploads.
func uploads() (all []upload) {
	bools := []bool{false, true}
	for _, kind := range []route.Kind{route.Safe, route.Unsafe, route.Streaming} {
		for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
			for _, bodyBytes := range []int64{60 << 10, 4 << 20} {
				for _, readBytes := range []int64{0, bodyBytes / 2} {
					for _, withTLS := range bools {
						for _, detour := range bools {
							all = append(all, upload{kind, protocol, bodyBytes, readBytes, withTLS, detour})
						}
					}
				}
			}
		}
	}
	return all
}

// A server answered a long upload at once with a success without a length, sent a part of its body
// and reset the connection while the upload was still being written. No caller may take that part
// for a whole answer.
func TestAnswerCutDuringTheUploadIsNotWhole(t *testing.T) {
	for _, u := range uploads() {
		t.Run(strings.ReplaceAll(fmt.Sprintf("%+v", u), " ", "_"), func(t *testing.T) {
			t.Parallel()
			r := newHarness(t)
			r.plan()
			if u.detour {
				r.relayed()
			}
			var runs atomic.Int64
			for _, id := range []string{"a", "b", "c"} {
				r.announce(id, listenRaw(t, resetServer(u.readBytes, &runs)), 1, backend.Serving)
			}
			got := r.upload(u)
			if got.err == nil && got.status == http.StatusOK || runs.Load() == 0 || u.kind == route.Unsafe && runs.Load() > 1 {
				t.Errorf("%+v after %d runs", got, runs.Load())
			}
		})
	}
}

// upload sends a request with a body, and returns the answer as its caller sees it.
func (r *harness) upload(u upload) callerAnswer {
	r.t.Helper()
	s := httptest.NewUnstartedServer(platform.CallerHandler(r.entry, clock.WallClock, func() bool { return false }))
	r.t.Cleanup(s.Close)
	if u.withTLS {
		s.StartTLS()
	} else {
		s.Start()
	}
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	defer conn.Close()
	if u.withTLS {
		conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
	}
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(conn, "POST /%s/x %s\r\nHost: h\r\nX-Rosereach-Attempt-Id: id-1\r\nAuthorization: Bearer k\r\nContent-Length: %d\r\n\r\n", u.kind, u.protocol, u.bodyBytes)
	if _, err := conn.Write(make([]byte, u.bodyBytes)); err != nil {
		r.t.Fatal(err)
	}
	return readAnswer(conn)
}
