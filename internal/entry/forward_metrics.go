package entry

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rosereach/core/forward"
	"rosereach/core/pacing"
	"rosereach/core/route"
	"rosereach/internal/metrics"
)

// forwardMetrics are the counters and histograms of an entry that forwards
// requests.
type forwardMetrics struct {
	registry      *prometheus.Registry
	requests      *prometheus.CounterVec
	attempts      *prometheus.CounterVec
	duration      *prometheus.HistogramVec
	firstByte     *prometheus.HistogramVec
	retriesDenied prometheus.Counter
	silent        *prometheus.CounterVec
	words         *prometheus.CounterVec
	withheld      *prometheus.CounterVec
	endedUnder    prometheus.Counter
}

func newForwardMetrics(e *Entry) *forwardMetrics {
	m := &forwardMetrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rosereach_requests_total", Help: "Requests by kind of route and by how they ended.",
		}, []string{"kind", "code"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rosereach_attempts_total", Help: "Attempts at backend servers by outcome.",
		}, []string{"outcome"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rosereach_request_duration_seconds", Help: "Time from a request's arrival to its end.", Buckets: metrics.SecondsBuckets,
		}, []string{"kind"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rosereach_first_byte_seconds", Help: "Time from sending an attempt to the first byte passed on.", Buckets: metrics.SecondsBuckets,
		}, []string{"kind"}),
		retriesDenied: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rosereach_repeats_denied_total", Help: "Repeats that the budget shared by all entries did not allow.",
		}),
		silent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rosereach_silent_attempts_total", Help: "Decisions about attempts whose server sends nothing.",
		}, []string{"decision"}),
		words: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rosereach_server_words_total", Help: "Answers in which a backend server says that it leaves, asks for no requests, or says something that cannot be read.",
		}, []string{"word"}),
		withheld: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rosereach_withheld_attempts_total", Help: "Attempts that were placed and not sent, by why their server gets no requests.",
		}, []string{"why"}),
		endedUnder: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rosereach_server_ends_total", Help: "Attempts whose backend server ended while it had the request.",
		}),
	}
	m.registry.MustRegister(m.requests, m.attempts, m.duration, m.firstByte, m.retriesDenied, m.silent, m.words, m.withheld, m.endedUnder,
		metrics.NewGauge("rosereach_quarantined_parts", "Parts of prompts for which requests are rejected, as they crash backend servers.", func() float64 { return float64(e.forwarder.countListed()) }),
		metrics.NewGauge("rosereach_services_cut_off", "Services of which the entry itself reaches no server.", func() float64 { n, _ := e.forwarder.detours.cuts(); return float64(n) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "rosereach_detours_total", Help: "Connections to backend servers through other entries.",
		}, func() float64 { return float64(e.forwarder.detours.openedCount()) }),
		metrics.NewGauge("rosereach_documents_revision", "Revision of the documents in force.", func() float64 { return float64(e.catalog.Load().Revision()) }),
		metrics.NewGauge("rosereach_servers_leaving", "Backend servers that said that they leave.", func() float64 { n, _ := e.forwarder.countRestrained(); return float64(n) }),
		metrics.NewGauge("rosereach_servers_held_off", "Backend servers that asked for no requests for a time that goes on.", func() float64 { _, n := e.forwarder.countRestrained(); return float64(n) }),
		metrics.NewGauge("rosereach_servers_limited", "Backend servers that named a limit of requests a second that holds.", func() float64 { return float64(e.forwarder.countLimited()) }),
		metrics.NewGauge("rosereach_servers_warming", "Backend servers that warm up and get few requests meanwhile.", func() float64 { return float64(e.forwarder.countWarming()) }),
		metrics.NewGauge("rosereach_zones_evacuated", "Availability zones whose backend servers get no requests.", func() float64 { return float64(len(e.catalog.Load().EvacuatedZones())) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "rosereach_unlocated_requests_total", Help: "Requests that were rejected, as no server is in a home region and in a zone that is not evacuated.",
		}, func() float64 { return float64(e.forwarder.unlocated.Load()) }),
		metrics.NewGauge("rosereach_servers_brittle", "Backend servers that said that they fall over when they have to reject too much.", func() float64 { return float64(e.forwarder.countBrittle()) }),
		metrics.NewGauge("rosereach_requests_running", "Requests that are being answered.", func() float64 { return float64(e.inFlight.Load()) }),
		metrics.NewGauge("rosereach_requests_waiting", "Requests that wait for their turn.", func() float64 { return float64(e.engineAdmission.waitingCount() + e.plainAdmission.waitingCount()) }),
	)
	m.registry.MustRegister(e.stopLog.collectors()...)
	return m
}

// ForwardMetrics returns the handler that serves the metrics of forwarded requests
// in Prometheus text format.
func (e *Entry) ForwardMetrics() http.Handler {
	return metrics.PrometheusHandler(e.forwarder.metrics.registry)
}

// RegisterMetrics adds metrics to those of ForwardMetrics.
func (e *Entry) RegisterMetrics(c prometheus.Collector) { e.forwarder.metrics.registry.MustRegister(c) }

// requestEnded counts a request by its result and records its duration.
func (m *forwardMetrics) requestEnded(r route.Route, err error, took time.Duration) {
	code := "answered"
	if err != nil {
		code = "broken"
		if f, ok := asFailure(err); ok {
			code = string(f.Code)
		}
	}
	m.requests.WithLabelValues(string(r.Kind), code).Inc()
	m.duration.WithLabelValues(string(r.Kind)).Observe(took.Seconds())
}

// heard counts what a backend server says of itself.
func (m *forwardMetrics) heard(h forward.Head) {
	if h.Leaving {
		m.words.WithLabelValues("leaves").Inc()
	}
	if h.HoldOff > 0 {
		m.words.WithLabelValues("held_off").Inc()
	}
	if h.Limit.Kind == pacing.Limited {
		m.words.WithLabelValues("limited").Inc()
	}
	if h.Brittle.Kind == pacing.Limited {
		m.words.WithLabelValues("brittle").Inc()
	}
	if h.Unreadable != "" {
		m.words.WithLabelValues("unreadable").Inc()
	}
}

func (m *forwardMetrics) attemptEnded(o forward.Outcome) {
	if o == "" {
		o = "answered"
	}
	m.attempts.WithLabelValues(string(o)).Inc()
}
