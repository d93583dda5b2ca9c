package backend

import (
	"context"
	"net/http"
	"testing"

	"github.com/juju/clock"
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
