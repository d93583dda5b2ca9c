package control

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rosereach/core/change"
	"rosereach/core/state"
	"rosereach/internal/metrics"
)

// textMetrics holds a control's counters and histograms in the Prometheus format.
type textMetrics struct {
	registry       *prometheus.Registry
	changes        *prometheus.CounterVec
	changeDuration prometheus.Histogram
	announcements  *prometheus.CounterVec
	watches        *prometheus.CounterVec
}

func newTextMetrics(n *Node) *textMetrics {
	m := &textMetrics{
		registry: prometheus.NewRegistry(),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rosereach_changes_total", Help: "Changes sent to this control, by kind and by how they ended.",
		}, []string{"kind", "outcome"}),
		changeDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "rosereach_change_duration_seconds", Help: "Time until a change was committed or failed.", Buckets: metrics.SecondsBuckets,
		}),
		announcements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rosereach_announcements_total", Help: "What backend servers said of themselves, by whether it was news.",
		}, []string{"news"}),
		watches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rosereach_watches_total", Help: "Questions of entries and other controls for what is new.",
		}, []string{"from"}),
	}
	m.registry.MustRegister(m.changes, m.changeDuration, m.announcements, m.watches,
		metrics.NewGauge("rosereach_documents_revision", "Revision of the documents known to be committed.", func() float64 { return float64(n.Catalog().Revision()) }),
		metrics.NewGauge("rosereach_term", "Term of the replicated log.", func() float64 { return float64(n.group().Term) }),
		metrics.NewGauge("rosereach_log_index", "Newest entry of the log that is applied.", func() float64 { return float64(n.group().Applied) }),
		metrics.NewGauge("rosereach_leads", "1 while this control leads, else 0.", func() float64 {
			if n.IsLeader() {
				return 1
			}
			return 0
		}),
		metrics.NewGauge("rosereach_entries_live", "Entries that were heard of lately.", func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return float64(n.liveEntries(n.cfg.Clock.Now()))
		}),
		metrics.NewGauge("rosereach_audit_sequence", "Newest event of the audit trail.", func() (v float64) {
			n.View(func(s *state.State) { v = float64(s.AuditHead().Sequence) })
			return v
		}),
	)
	return m
}

// RegisterMetrics adds metrics to those of TextMetrics.
func (n *Node) RegisterMetrics(c prometheus.Collector) { n.textMetrics.registry.MustRegister(c) }

// TextMetrics returns the handler that serves the control's counters, gauges and
// histograms in the Prometheus text format.
func (n *Node) TextMetrics() http.Handler { return metrics.PrometheusHandler(n.textMetrics.registry) }

// countChange counts a change by kind and outcome, and observes how long it took.
func (m *textMetrics) countChange(kind change.Kind, r change.Result, err error, duration time.Duration) {
	outcome := string(r.Status)
	if err != nil {
		outcome = "unknown"
	}
	m.changes.WithLabelValues(string(kind), outcome).Inc()
	m.changeDuration.Observe(duration.Seconds())
}

// countAnnouncement counts a backend server's announcement.
func (m *textMetrics) countAnnouncement(news bool) {
	label := "no"
	if news {
		label = "yes"
	}
	m.announcements.WithLabelValues(label).Inc()
}

// countWatch counts a watch request.
func (m *textMetrics) countWatch(byEntry bool) {
	from := "control"
	if byEntry {
		from = "entry"
	}
	m.watches.WithLabelValues(from).Inc()
}
