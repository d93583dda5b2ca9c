package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// SecondsBuckets are the bucket bounds of latency histograms, from 5 ms to 25 s.
// Each is 1.5 times the one before, so the error of a quantile is a quarter at
// most. A histogram takes some 2 KB of memory and 100 ns an observation.
var SecondsBuckets = prometheus.ExponentialBuckets(0.005, 1.5, 22)

// NewGauge returns a gauge whose value is what read returns at each scrape.
func NewGauge(name, help string, read func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read)
}

// PrometheusHandler returns the HTTP handler that serves the registered metrics in the
// Prometheus text format.
func PrometheusHandler(r *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}
