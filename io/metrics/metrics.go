// Package metrics counts what a host does, for Prometheus.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"redwingsill/core/outcome"
)

// Metrics is the figures of one host. Its methods may be called at the same time.
type Metrics struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	latency   *prometheus.HistogramVec
	attempts  *prometheus.CounterVec
	platform  *prometheus.CounterVec
	waiting   prometheus.Gauge
	gauges    *prometheus.GaugeVec
	servers   *prometheus.GaugeVec
	moves     *prometheus.CounterVec
	peerBytes *prometheus.GaugeVec
	unserved  *prometheus.GaugeVec
	lost      *prometheus.CounterVec
	imbalance *prometheus.GaugeVec
	ages      *prometheus.GaugeVec
}

// New returns figures that start at zero.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_requests_total",
			Help: "Callers' requests by service, rank and outcome."}, []string{"service", "rank", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "redwingsill_request_duration_seconds",
			Help:    "Time from a caller's request to its outcome, by service, rank and outcome.",
			Buckets: []float64{.001, .002, .004, .007, .013, .025, .05, .1, .25, .5, 1, 2.5, 5, 30}},
			[]string{"service", "rank", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_attempts_total",
			Help: "Attempts on backend servers by server and outcome."}, []string{"server", "outcome"}),
		platform: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_platform_calls_total",
			Help: "Calls to the platform's service by kind and result."}, []string{"call", "result"}),
		waiting: prometheus.NewGauge(prometheus.GaugeOpts{Name: "redwingsill_platform_watches",
			Help: "Watches that wait at the platform's service."}),
		gauges: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "redwingsill_host_state",
			Help: "The host's state: configuration_revision, term, is_arbiter, is_ready, permits, view_version."}, []string{"fact"}),
		servers: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "redwingsill_server_work",
			Help: "Requests at a backend server that this host is the steward of, by state."}, []string{"server", "state"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_ownership_moves_total",
			Help: "Units whose owner changed, by service."}, []string{"service"}),
		peerBytes: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "redwingsill_peer_bytes_total",
			Help: "Bytes between this host and other entry hosts by direction."}, []string{"direction"}),
		unserved: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "redwingsill_unserved_units",
			Help: "Units of this data centre without an owner or steward, at the arbiter, by service."}, []string{"service"}),
		lost: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_unserved_unit_seconds_total",
			Help: "Time during which units were unserved, added up over units, at the arbiter, by service."}, []string{"service"}),
		imbalance: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "redwingsill_load_imbalance_ratio",
			Help: "Rate of requests of the busiest backend server to the mean, at the arbiter, by service."}, []string{"service"}),
		ages: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "redwingsill_age_seconds",
			Help: "Time since the newest word of: arbiter, monitor, platform."}, []string{"of"}),
	}
	m.registry.MustRegister(m.requests, m.latency, m.attempts, m.platform, m.waiting, m.gauges, m.servers, m.moves,
		m.peerBytes, m.unserved, m.lost, m.imbalance, m.ages, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Handler returns the handler of the page that Prometheus reads.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Registry: m.registry})
}

// Request counts a caller's request.
func (m *Metrics) Request(service, rank string, o outcome.Outcome, took time.Duration) {
	name := outcome.Name(o)
	m.requests.WithLabelValues(service, rank, name).Inc()
	m.latency.WithLabelValues(service, rank, name).Observe(took.Seconds())
}

// Attempt counts an attempt on a backend server.
func (m *Metrics) Attempt(server string, o outcome.Outcome) {
	m.attempts.WithLabelValues(server, outcome.Name(o)).Inc()
}

// PlatformCall counts a call to the platform's service.
func (m *Metrics) PlatformCall(call, result string) { m.platform.WithLabelValues(call, result).Inc() }

// Watch counts watches that begin (1) and end (-1).
func (m *Metrics) Watch(change float64) { m.waiting.Add(change) }

// Host sets a fact of the host's state.
func (m *Metrics) Host(fact string, value float64) { m.gauges.WithLabelValues(fact).Set(value) }

// Server sets the requests that wait and run at a backend server.
func (m *Metrics) Server(server string, waiting, running int) {
	m.servers.WithLabelValues(server, "waiting").Set(float64(waiting))
	m.servers.WithLabelValues(server, "running").Set(float64(running))
}

// Moves counts units whose owner changed.
func (m *Metrics) Moves(service string, n int) { m.moves.WithLabelValues(service).Add(float64(n)) }

// PeerBytes sets the bytes between hosts so far.
func (m *Metrics) PeerBytes(sent, received int64) {
	m.peerBytes.WithLabelValues("sent").Set(float64(sent))
	m.peerBytes.WithLabelValues("received").Set(float64(received))
}

// Unserved sets the units of a service that are not served, and counts the time that has passed so.
func (m *Metrics) Unserved(service string, units int, passed time.Duration) {
	m.unserved.WithLabelValues(service).Set(float64(units))
	m.lost.WithLabelValues(service).Add(float64(units) * passed.Seconds())
}

// Imbalance sets the rate of the busiest backend server of a service to the mean.
func (m *Metrics) Imbalance(service string, ratio float64) {
	m.imbalance.WithLabelValues(service).Set(ratio)
}

// Age sets the time since the newest word of a source.
func (m *Metrics) Age(of string, age time.Duration) { m.ages.WithLabelValues(of).Set(age.Seconds()) }
