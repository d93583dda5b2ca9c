// Package fake provides fakes of the systems around rosereach: model engines,
// plain services, the rating service and the weight store. Engines, services
// and the store keep a log of their runs, which tests compare with bills and
// answers.
package fake

import (
	"sync"
	"time"

	"rosereach/core/version"
)

type (
	// Run is one run of a request at a backend server. StartedAt is later than
	// ReceivedAt if the request was queued. Completed is set if the run reached
	// its end.
	Run struct {
		Backend    string      `json:"backend"`
		RequestID  string      `json:"request_id"`
		Attempt    int         `json:"attempt"`
		Version    version.Ref `json:"version"`
		Method     string      `json:"method,omitempty"`
		Path       string      `json:"path,omitempty"`
		Bytes      int         `json:"bytes,omitempty"`
		ReceivedAt time.Time   `json:"received_at"`
		StartedAt  time.Time   `json:"started_at"`
		Tokens     int64       `json:"tokens"`
		Completed  bool        `json:"whole"`
	}

	// RunLog is an append-only list of runs. It is safe for concurrent use.
	RunLog struct {
		mu   sync.Mutex
		runs []Run
	}
)

// Start appends a run and returns its index in the log.
func (l *RunLog) Start(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	return len(l.runs) - 1
}

// Finish records the generated tokens of a run and whether it completed.
func (l *RunLog) Finish(index int, tokens int64, completed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[index].Tokens = tokens
	l.runs[index].Completed = completed
}

// Runs returns a copy of the log.
func (l *RunLog) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// ByRequest returns the runs of one request.
func (l *RunLog) ByRequest(requestID string) []Run {
	var found []Run
	for _, r := range l.Runs() {
		if r.RequestID == requestID {
			found = append(found, r)
		}
	}
	return found
}
