package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"rosereach/core/drain"
	"rosereach/internal/metrics"
)

// stopMetrics are the metrics of an entry's planned stop.
type stopMetrics struct {
	requests *prometheus.CounterVec
	phase    *prometheus.GaugeVec
}

func newStopMetrics() *stopMetrics {
	return &stopMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rosereach_stop_requests_total", Help: "Requests that ended during the planned stop, by its phase and by how they ended.",
		}, []string{"phase", "outcome"}),
		phase: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "rosereach_stop_phase", Help: "1 for the phase that the planned stop has reached.",
		}, []string{"phase"}),
	}
}

// collectors returns all metrics about the stop.
func (s *stopLog) collectors() []prometheus.Collector {
	return []prometheus.Collector{
		s.metrics.requests, s.metrics.phase,
		metrics.NewGauge("rosereach_stop_left_seconds", "Time until the process exits, 0 without a planned stop.", func() float64 { return s.timeLeft().Seconds() }),
		metrics.NewGauge("rosereach_requests_begun", "Requests whose answer has begun and not ended.", func() float64 { return float64(s.begun.Load()) }),
		metrics.NewGauge("rosereach_relayed_connections", "Connections to backend servers that are passed on for other entries.", func() float64 { return float64(s.entry.forwarder.detours.relayedCount()) }),
	}
}

// enter sets the phase that the stop has reached.
func (m *stopMetrics) enter(phase drain.Phase) {
	m.phase.Reset()
	m.phase.WithLabelValues(phase.String()).Set(1)
}

// ended counts a request that ended during the stop.
func (m *stopMetrics) ended(phase drain.Phase, outcome string) {
	m.requests.WithLabelValues(phase.String(), outcome).Inc()
}
