package entry

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/go-kit/log"

	"rosereach/core/forward"
)

// lockedBuffer is a buffer for the log of several goroutines.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// The log tells for each attempt what marked the end of its answer and how that end was seen:
// only the last answer's framing was there to explain a stream that ended too early.
func TestLogTellsHowAnswersEnded(t *testing.T) {
	r := newHarness(t)
	var out lockedBuffer
	r.entry.cfg.Logger = log.NewLogfmtLogger(&out)
	r.plan()
	var runs atomic.Int64
	for _, id := range []string{"a", "b", "c"} {
		r.server(id, func(w http.ResponseWriter, _ *http.Request) {
			switch runs.Add(1) {
			case 1:
				unframed(w, 1, 2, "id: 3\nda", closeConn)
			case 2:
				event(w, 3)
				http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			default:
				event(w, 4)
			}
		})
	}
	if _, err := r.sendWith(context.Background(), forward.Request{Path: "/streaming/x", Key: "k"}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"answer=200:close:closed:2:partial", "answer=200:chunks:truncated:1",
		"answers=200:close:closed:2:partial,200:chunks:truncated:1,200:length:marked:1", "caller=chunks:whole",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in:\n%s", want, out.String())
		}
	}
}
