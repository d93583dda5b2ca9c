package entry

import (
	"testing"

	"rosereach/core/request"
	iobackend "rosereach/io/backend"
)

// A server that kept an answer with a status that is none has run the request, and has no answer
// for its caller.
func TestKeptAnswerWithoutValidStatusIsNone(t *testing.T) {
	for status, isKept := range map[int]bool{0: false, -1: false, 20: false, 99: false, 101: false, 200: true, 404: true, 599: true, 600: false, 999: false} {
		a := recordedAnswer(iobackend.Lookup{Outcome: request.Done, Status: status, Body: []byte("body")}, "a")
		if (a.Code == "") != isKept || (a.Status == status && len(a.Body) > 0) != isKept || a.Outcome != request.Done {
			t.Errorf("%d: %+v", status, a)
		}
	}
}
