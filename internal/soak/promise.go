package soak

import (
	"fmt"
	"net/http"
	"sync"

	"rosereach/platform"
)

// Breach is a promise that was broken.
type Breach struct {
	Promise string
	ID      string
	Detail  string
}

// breaches collects what was broken, up to a bound.
type breaches struct {
	mu   sync.Mutex
	list []Breach
}

// maxBreaches bounds the report; the first ones tell the cause.
const maxBreaches = 50

func (b *breaches) add(promise, id, detail string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.list) < maxBreaches {
		b.list = append(b.list, Breach{Promise: promise, ID: id, Detail: fmt.Sprintf(detail, args...)})
	}
}

func (b *breaches) all() []Breach {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Breach(nil), b.list...)
}

// ended is how a request ended as its caller saw it; the status is 0 when no
// whole answer came.
type ended struct {
	kind   string
	id     string
	status int
	body   string
}

// checkAnswer checks what the caller saw at once.
func (b *breaches) checkAnswer(e ended) {
	if e.status != http.StatusOK {
		return
	}
	want := e.id
	if e.kind == "streaming" {
		want = ""
		for id := 1; id <= events; id++ {
			want += fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
		}
	}
	if e.body != want {
		b.add("whole answer to its own request", e.id, "%s answered %q", e.kind, e.body)
	}
}

// checkRuns checks how often a request ran, once nothing can run any more.
func (b *breaches) checkRuns(e ended, ran int) {
	if e.kind == "unsafe" && ran > 1 {
		b.add("at most once", e.id, "ran %d times, status %d", ran, e.status)
	}
	if e.kind != "safe" && platform.IsPromise(e.status) && ran > 0 {
		b.add("truthful refusals", e.id, "status %d, ran %d times", e.status, ran)
	}
	if e.status == http.StatusOK && ran == 0 {
		b.add("whole answer to its own request", e.id, "%s answered without a run", e.kind)
	}
}
