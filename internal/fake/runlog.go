// Package fake holds stand-ins for the systems around rosereach: model
// engines, plain services, the rating service and the weight store. Each
// keeps a log of what it ran, which tests compare with bills and answers.
package fake

import (
	"sync"
	"time"

	"rosereach/core/version"
)

type (
	// Run is one run of a request at a backend server, which received it at one
	// time and began with it at another. Whole is set when it ran to its end.
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
		Whole      bool        `json:"whole"`
	}

	// RunLog is a list of runs. It is safe for concurrent use.
	RunLog struct {
		mu   sync.Mutex
		runs []Run
	}
)

// Start adds a run and returns its place in the log.
func (l *RunLog) Start(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	return len(l.runs) - 1
}

// Finish notes how far a run came.
func (l *RunLog) Finish(place int, tokens int64, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[place].Tokens = tokens
	l.runs[place].Whole = whole
}

// Runs returns a copy of the log.
func (l *RunLog) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// Of returns the runs of one request.
func (l *RunLog) Of(requestID string) []Run {
	var found []Run
	for _, r := range l.Runs() {
		if r.RequestID == requestID {
			found = append(found, r)
		}
	}
	return found
}
