package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/juju/clock"

	"rosereach/core/request"
)

// A server that was killed while it wrote an answer without a length ended the connection in
// order. The part of the answer was recorded as a whole one and sent to the caller with a length.
func TestAnswerWithoutLengthIsNotTakenForWhole(t *testing.T) {
	address, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf of an ans"))
		conn.Close()
	})
	for _, idempotent := range []bool{false, true} {
		got, err := NewClient(clock.WallClock, 1).Plain(context.Background(), PlainCall{
			Address: address, RequestID: "r", Attempt: 1, Idempotent: idempotent, Method: http.MethodGet, Path: "/x", Gate: &testGate{},
		})
		if err == nil {
			t.Errorf("idempotent %v: %d %q is taken for whole", idempotent, got.Status, got.Body)
		}
	}
}

// Nor is one that a server sends at once, and cuts by a reset while the request is still written.
func TestAnswerCutDuringTheUploadIsNotTakenForWhole(t *testing.T) {
	for _, bodyBytes := range []int{60 << 10, 8 << 20} {
		for _, idempotent := range []bool{false, true} {
			for _, readBytes := range []int{0, bodyBytes / 2} {
				address, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\nhalf of an ans"))
					io.CopyN(io.Discard, conn, int64(readBytes))
					time.Sleep(5 * time.Millisecond) // the answer is read before the reset
					conn.(*net.TCPConn).SetLinger(0)
					conn.Close()
				})
				got, err := NewClient(clock.WallClock, 1).Plain(t.Context(), PlainCall{
					Address: address, RequestID: "r", Idempotent: idempotent, Method: http.MethodPost, Path: "/x", Body: make([]byte, bodyBytes),
				})
				if outcome := outcomeOf(t, err); outcome != request.Unknown {
					t.Errorf("%d bytes, idempotent %v: %d %q is %s, %v", bodyBytes, idempotent, got.Status, got.Body, outcome, err)
				}
			}
		}
	}
}
