package entry

import (
	"expvar"
	"net/http"
	"time"

	"rosereach/core/ledger"
	"rosereach/internal/metrics"
	"rosereach/io/caller"
	"rosereach/io/member"
)

// meter holds the metrics of an entry that serves its own API.
type meter struct {
	set        *metrics.Set
	requests   *metrics.Requests
	finished   *expvar.Map
	codes      *expvar.Map
	recordTime *metrics.Histogram
}

func newMeter(e *Entry) *meter {
	s := metrics.NewSet(e.cfg.Clock)
	m := &meter{
		set: s, requests: metrics.NewRequests(s, caller.HeaderOutcome, e.cfg.Logger),
		finished: s.Counts("finished_by_outcome"), codes: s.Counts("finished_by_code"), recordTime: s.Histogram("ledger_record"),
	}
	s.Gauge("revision", func() any { return e.catalog.Load().Revision() })
	s.Gauge("lease_remaining_ms", func() any { return e.leaseRemaining().Milliseconds() })
	s.Gauge("running", func() any {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.running()
	})
	s.Gauge("waiting", func() any { return e.engineAdmission.waitingCount() + e.plainAdmission.waitingCount() })
	s.Gauge("backend_servers", func() any {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.registry.All(e.cfg.Clock.Now()))
	})
	s.Gauge("link_bytes_sent", func() any { return member.Traffic().Sent })
	s.Gauge("link_bytes_received", func() any { return member.Traffic().Received })
	return m
}

// Metrics returns the handler that serves the entry's metrics as JSON.
func (e *Entry) Metrics() http.Handler { return e.meter.set }

// finish counts a recorded end of a request and the time that recording took.
func (m *meter) finish(f ledger.Finish, took time.Duration) {
	m.recordTime.Record(took)
	m.finished.Add(string(f.Answer.Outcome), 1)
	if f.Answer.Code != "" {
		m.codes.Add(string(f.Answer.Code), 1)
	}
}

// leaseRemaining returns the time until the lease expires, negative afterward.
func (e *Entry) leaseRemaining() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaseHolder.Expires().Sub(e.cfg.Clock.Now())
}

// waitingCount returns the number of waiting requests.
func (a *admission) waitingCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiting)
}
