package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"rosereach/core/forward"
)

// unframed answers with events, from first to last, whose end only the end of the
// connection marks. The connection then ends by the given function.
func unframed(w http.ResponseWriter, first, last uint64, rest string, end func(*net.TCPConn)) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nId: id-1\r\n\r\n")
	for id := first; id <= last; id++ {
		event(conn, id)
	}
	fmt.Fprint(conn, rest)
	end(conn.(*net.TCPConn))
}

func closeConn(c *net.TCPConn) { c.Close() }

func resetConn(c *net.TCPConn) {
	time.Sleep(20 * time.Millisecond) // the events are read before the reset
	c.SetLinger(0)
	c.Close()
}

// A server that is killed in the middle of a stream without a length closes the connection as
// at the stream's end. Callers got a stream that ended as complete before its last event, and
// the server that had the rest was never asked.
func TestEndOfConnectionDoesNotEndStream(t *testing.T) {
	const two, three = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"
	for name, c := range map[string]struct {
		rest      string
		end       func(*net.TCPConn)
		resume    http.HandlerFunc
		want      string
		wantWhole bool
	}{
		"closed, with a rest":             {"", closeConn, func(w http.ResponseWriter, _ *http.Request) { event(w, 3) }, three, true},
		"closed in an event, with a rest": {"id: 3\nda", closeConn, func(w http.ResponseWriter, _ *http.Request) { event(w, 3) }, three, true},
		"reset, with a rest":              {"", resetConn, func(w http.ResponseWriter, _ *http.Request) { event(w, 3) }, three, true},
		"closed at its end":               {"", closeConn, func(http.ResponseWriter, *http.Request) {}, two, true},
		"closed by all, which are still there": {"", closeConn, func(w http.ResponseWriter, r *http.Request) {
			unframed(w, 3, 2, "", closeConn)
		}, two, true},
		"closed in an event, then by all": {"id: 3\nda", closeConn, func(w http.ResponseWriter, r *http.Request) {
			unframed(w, 3, 2, "", closeConn)
		}, two, false},
		"reset, then by all": {"", resetConn, func(w http.ResponseWriter, r *http.Request) {
			unframed(w, 3, 2, "", resetConn)
		}, two, false},
		"closed, and no other answer": {"", closeConn, func(w http.ResponseWriter, _ *http.Request) { hangUp(w) }, two, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.plan()
			var runs atomic.Int64
			for _, id := range []string{"a", "b", "c"} {
				r.server(id, func(w http.ResponseWriter, req *http.Request) {
					if runs.Add(1) == 1 {
						unframed(w, 1, 2, c.rest, c.end)
						return
					}
					c.resume(w, req)
				})
			}
			got, err := r.sendWith(context.Background(), forward.Request{Path: "/streaming/x", Key: "k"})
			if got.text() != c.want || (err == nil) != c.wantWhole {
				t.Fatalf("%q after %d runs, %v", got.text(), runs.Load(), err)
			}
		})
	}
}

// A stream without a length that may not be resumed ends with its connection: no server may
// be asked for the rest.
func TestEndOfConnectionEndsStreamThatCantBeResumed(t *testing.T) {
	r := newHarness(t)
	r.plan()
	docs := r.entry.catalog.Load().Documents()
	plan := *docs.Routing
	plan.Config.Routes = append(plan.Config.Routes[:0:0], plan.Config.Routes...)
	for i := range plan.Config.Routes {
		plan.Config.Routes[i].Resumable = false
	}
	docs.Routing = &plan
	docs.Revision++
	r.entry.applyDocuments(&docs)
	var runs atomic.Int64
	for _, id := range []string{"a", "b"} {
		r.server(id, func(w http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			unframed(w, 1, 2, "", closeConn)
		})
	}
	got, err := r.sendWith(context.Background(), forward.Request{Path: "/streaming/x", Key: "k"})
	if err != nil || runs.Load() != 1 || got.text() != "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n" {
		t.Fatalf("%q after %d runs, %v", got.text(), runs.Load(), err)
	}
}
