package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"rosereach/core/forward"
)

// sendStream sends a stream whose first attempt gets the first handler, the second one the
// second, and all others the last one.
func (r *harness) sendStream(req forward.Request, handlers ...http.HandlerFunc) (*recordingSink, int64, error) {
	r.plan()
	var runs atomic.Int64
	for _, id := range []string{"a", "b", "c"} {
		r.server(id, func(w http.ResponseWriter, req *http.Request) {
			handlers[min(int(runs.Add(1)), len(handlers))-1](w, req)
		})
	}
	req.Path, req.Key = "/streaming/x", "k"
	got, err := r.sendWith(context.Background(), req)
	return got, runs.Load(), err
}

// An answer to the request for the rest of a stream that holds nothing but events from before
// it, or text that is no event, counted as the rest: callers got a stream that ended as complete
// before its last event, although another server had the rest.
func TestAnswerWithoutTheRestEndsNoStream(t *testing.T) {
	for name, second := range map[string]string{
		"earlier event":          "id: 1\ndata: 1\n\n",
		"text":                   "no such run\n\n",
		"earlier event and text": "id: 1\ndata: 1\n\nno such run\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			got, runs, err := newHarness(t).sendStream(forward.Request{},
				func(w http.ResponseWriter, _ *http.Request) { event(w, 1); event(w, 2); hangUp(w) },
				func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, second) },
				func(w http.ResponseWriter, _ *http.Request) { event(w, 3) })
			if want := "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"; got.text() != want || err != nil {
				t.Errorf("%q after %d runs, %v", got.text(), runs, err)
			}
		})
	}
}

// HTTP/1.0 has no chunks: the sizes of an answer that has them all the same reached callers as
// part of the stream.
func TestChunksOfHTTP10AreNotPassedOn(t *testing.T) {
	got, runs, err := newHarness(t).sendStream(forward.Request{},
		func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			fmt.Fprint(conn, "HTTP/1.0 200 OK\r\nId: id-1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: 1\n\n\r\n0\r\n\r\n")
		},
		func(w http.ResponseWriter, _ *http.Request) { event(w, 1) })
	if got.text() != "id: 1\ndata: 1\n\n" || err != nil {
		t.Errorf("%q after %d runs, %v", got.text(), runs, err)
	}
}

// A server that returns from its handler when the time that it was given is over ends its chunks
// in order, shortly before the entry cuts the stream: callers got a stream that ended as
// complete before its last event.
func TestStreamThatEndsWithItsTimeIsNotComplete(t *testing.T) {
	for range 5 {
		deadline := time.Now().Add(200 * time.Millisecond)
		got, runs, err := newHarness(t).sendStream(forward.Request{Deadline: deadline}, func(w http.ResponseWriter, _ *http.Request) {
			event(w, 1)
			http.NewResponseController(w).Flush()
			time.Sleep(time.Until(deadline) - time.Millisecond)
		})
		if err == nil {
			t.Fatalf("%q after %d runs", got.text(), runs)
		}
	}
}
