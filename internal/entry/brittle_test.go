package entry

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rosereach/core/forward"
	"rosereach/core/route"
)

// brittle returns a handler that says that the server is brittle before the other answers.
func brittle(answer http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Brittle", "5")
		answer(w, req)
	}
}

// A burst of requests at a brittle server with four slots: three of them are at it at once, and
// each other one runs later or is rejected as not run.
func TestBrittleServerIsNotFilled(t *testing.T) {
	r := newHarness(t)
	r.plan()
	var running, most atomic.Int64
	a := r.counted("a", brittle(func(w http.ResponseWriter, _ *http.Request) {
		n := running.Add(1)
		defer running.Add(-1)
		for seen := most.Load(); n > seen && !most.CompareAndSwap(seen, n); seen = most.Load() {
		}
		time.Sleep(20 * time.Millisecond)
		io.WriteString(w, "done")
	}))
	if _, err := r.send(route.Unsafe); err != nil {
		t.Fatal(err)
	}
	var sent sync.WaitGroup
	var served atomic.Int64
	for range 12 {
		sent.Go(func() {
			switch _, err := r.send(route.Unsafe); {
			case err == nil:
				served.Add(1)
			case codeOf(err) != forward.NoServer:
				t.Error(err)
			}
		})
	}
	sent.Wait()
	if most.Load() > 3 || served.Load()+1 != a.n.Load() || served.Load() < 3 {
		t.Errorf("%d at once, %d served, %d arrived", most.Load(), served.Load(), a.n.Load())
	}
}

// A hold-off that the entry imposes on itself is not logged and counted as the server's word.
func TestBrittleServerAsksForNoHoldOff(t *testing.T) {
	r := newHarness(t)
	var logged strings.Builder
	var mu sync.Mutex
	r.entry.cfg.Logger = loggerFunc(func(keyvals ...any) error {
		mu.Lock()
		defer mu.Unlock()
		if len(keyvals) > 1 {
			for _, v := range keyvals {
				if s, ok := v.(string); ok {
					logged.WriteString(s + "\n")
				}
			}
		}
		return nil
	})
	r.plan()
	a := r.counted("a", brittle(refuse))
	for range 3 {
		if _, err := r.send(route.Unsafe); codeOf(err) != forward.NoServer {
			t.Fatal(err)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if text := logged.String(); a.n.Load() != 1 || strings.Contains(text, "Backend server wants no requests.") || !strings.Contains(text, "Brittle backend server is left alone.") {
		t.Errorf("%d arrived; logged:\n%s", a.n.Load(), text)
	}
}

type loggerFunc func(keyvals ...any) error

func (f loggerFunc) Log(keyvals ...any) error { return f(keyvals...) }
