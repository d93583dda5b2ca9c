package control

import (
	"net/http"

	"rosereach/core/state"
	"rosereach/internal/metrics"
	"rosereach/io/member"
)

// newMetrics returns the gauges of a control, for its JSON metrics.
func newMetrics(n *Node) *metrics.Set {
	s := metrics.NewSet(n.cfg.Clock)
	s.Gauge("log_index", func() any { return n.group().Applied })
	s.Gauge("term", func() any { return n.group().Term })
	s.Gauge("leads", func() any { return n.IsLeader() })
	s.Gauge("revision", func() any { return n.Catalog().Revision() })
	s.Gauge("entries", func() any {
		entries, err := n.entries()
		if err != nil {
			return nil
		}
		return entries
	})
	s.Gauge("audit_sequence", func() (v any) {
		n.View(func(s *state.State) { v = s.AuditHead().Sequence })
		return v
	})
	s.Gauge("link_bytes_sent", func() any { return member.Traffic().Sent })
	s.Gauge("link_bytes_received", func() any { return member.Traffic().Received })
	return s
}

// Metrics returns the handler that serves the control's gauges as JSON.
func (n *Node) Metrics() http.Handler { return n.metrics }
