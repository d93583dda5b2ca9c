package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// SecondsBuckets are the bounds of the latency histograms in seconds, 5 ms to
// 25 s. Each is 1.5 times the one before, so a quantile read from them is off by
// a quarter at most; a histogram costs some 2 KB and 100 ns an observation.
var SecondsBuckets = prometheus.ExponentialBuckets(0.005, 1.5, 22)

// NewGauge returns a metric that shows what read returns at the time of asking.
func NewGauge(name, help string, read func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read)
}

// TextHandler returns the handler that shows the registered metrics as text.
func TextHandler(r *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}
