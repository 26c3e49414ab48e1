// Package platformmetrics counts what an entry host on the platform does, for Prometheus.
package platformmetrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"redwingsill/core/attemptresult"
)

// Metrics is the counters and histograms of one host. Its methods may be called at the same time.
type Metrics struct {
	registry *prometheus.Registry
	requests *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	calls    *prometheus.CounterVec
}

// New returns figures that start at zero.
func New() *Metrics {
	f := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "redwingsill_request_duration_seconds",
			Help:    "Time from a caller's request to its outcome, by service, rank and outcome.",
			Buckets: []float64{.005, .013, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4}}, []string{"service", "rank", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_attempts_total",
			Help: "Requests sent to backend servers, by service and result."}, []string{"service", "result"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_store_calls_total",
			Help: "Calls to the store, by call and result."}, []string{"call", "result"}),
	}
	f.registry.MustRegister(f.requests, f.attempts, f.calls)
	return f
}

// Gauge registers a figure that is read when it is asked for.
func (f *Metrics) Gauge(name, help string, value func() float64) {
	f.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// Request implements forward.Figures.
func (f *Metrics) Request(service string, rank int, outcome string, took time.Duration) {
	f.requests.WithLabelValues(service, strconv.Itoa(rank), outcome).Observe(took.Seconds())
}

// Attempt implements forward.Figures.
func (f *Metrics) Attempt(service string, result attemptresult.Status) {
	f.attempts.WithLabelValues(service, result.String()).Inc()
}

// Call counts a call to the store.
func (f *Metrics) Call(call, result string) { f.calls.WithLabelValues(call, result).Inc() }

// Handler serves the figures as text.
func (f *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(f.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 1})
}
