package backend

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/juju/clock"

	"rosereach/core/request"
	"rosereach/core/version"
)

// A server answered with a status that is none. The answer was recorded and written to the caller,
// or believed when it said that the request had not run.
func TestStatusThatIsNoneLeavesTheOutcomeUnknown(t *testing.T) {
	ref, err := version.ParseRef("m@1")
	if err != nil {
		t.Fatal(err)
	}
	for _, status := range []string{"000", "001", "099", "+20", "600", "999", "101"} {
		address, seen := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			fmt.Fprintf(conn, "HTTP/1.1 %s X\r\n%s: %s\r\nContent-Length: 2\r\n\r\n{}", status, HeaderOutcome, request.NotRun)
		})
		client := NewClient(clock.WallClock, 1)
		for _, idempotent := range []bool{false, true} {
			got, err := client.Plain(t.Context(), PlainCall{Address: address, RequestID: "plain", Method: http.MethodPost, Path: "/x", Idempotent: idempotent})
			if outcome := outcomeOf(t, err); outcome != request.Unknown {
				t.Errorf("%s: %+v is %s, %v", status, got, outcome, err)
			}
		}
		_, err := client.Stream(t.Context(), ChatCall{Address: address, RequestID: "chat", Version: ref}, func(Piece) error { return nil })
		if outcome := outcomeOf(t, err); outcome != request.Unknown {
			t.Errorf("%s: the stream is %s, %v", status, outcome, err)
		}
		if plain, chat := seen.count("plain"), seen.count("chat"); plain != 2 || chat != 1 {
			t.Errorf("%s: sent %d and %d times", status, plain, chat)
		}
	}
}
