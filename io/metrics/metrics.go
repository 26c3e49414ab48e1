// Package metrics exports the Prometheus metrics of an entry host. Entry hosts on the platform use package
// platformmetrics instead.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"redwingsill/core/outcome"
)

// Metrics holds the Prometheus collectors of one host. Its methods are safe for concurrent use.
type Metrics struct {
	registry        *prometheus.Registry
	requests        *prometheus.CounterVec
	requestDuration *prometheus.HistogramVec
	attempts        *prometheus.CounterVec
	platformCalls   *prometheus.CounterVec
	platformWatches prometheus.Gauge
	hostState       *prometheus.GaugeVec
	serverWork      *prometheus.GaugeVec
	ownershipMoves  *prometheus.CounterVec
	peerBytes       *prometheus.GaugeVec
	unservedUnits   *prometheus.GaugeVec
	unservedSeconds *prometheus.CounterVec
	loadImbalance   *prometheus.GaugeVec
	ages            *prometheus.GaugeVec
}

// New returns metrics with their collectors registered.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_requests_total",
			Help: "Callers' requests by service, rank and outcome."}, []string{"service", "rank", "outcome"}),
		requestDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "redwingsill_request_duration_seconds",
			Help:    "Time from a caller's request to its outcome, by service, rank and outcome.",
			Buckets: []float64{.001, .002, .004, .007, .013, .025, .05, .1, .25, .5, 1, 2.5, 5, 30}},
			[]string{"service", "rank", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_attempts_total",
			Help: "Attempts on backend servers by server and outcome."}, []string{"server", "outcome"}),
		platformCalls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_platform_calls_total",
			Help: "Calls to the platform's service by kind and result."}, []string{"call", "result"}),
		platformWatches: prometheus.NewGauge(prometheus.GaugeOpts{Name: "redwingsill_platform_watches",
			Help: "Watches that wait at the platform's service."}),
		hostState: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "redwingsill_host_state",
			Help: "The host's state: configuration_revision, term, is_arbiter, is_ready, permits, view_version."}, []string{"fact"}),
		serverWork: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "redwingsill_server_work",
			Help: "Requests at a backend server that this host is the steward of, by state."}, []string{"server", "state"}),
		ownershipMoves: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_ownership_moves_total",
			Help: "Units whose owner changed, by service."}, []string{"service"}),
		peerBytes: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "redwingsill_peer_bytes_total",
			Help: "Bytes between this host and other entry hosts by direction."}, []string{"direction"}),
		unservedUnits: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "redwingsill_unserved_units",
			Help: "Units of this data centre without an owner or steward, at the arbiter, by service."}, []string{"service"}),
		unservedSeconds: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_unserved_unit_seconds_total",
			Help: "Time during which units were unserved, added up over units, at the arbiter, by service."}, []string{"service"}),
		loadImbalance: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "redwingsill_load_imbalance_ratio",
			Help: "Rate of requests of the busiest backend server to the mean, at the arbiter, by service."}, []string{"service"}),
		ages: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "redwingsill_age_seconds",
			Help: "Time since the newest word of: arbiter, monitor, platform."}, []string{"of"}),
	}
	m.registry.MustRegister(m.requests, m.requestDuration, m.attempts, m.platformCalls, m.platformWatches, m.hostState, m.serverWork, m.ownershipMoves,
		m.peerBytes, m.unservedUnits, m.unservedSeconds, m.loadImbalance, m.ages, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Handler returns the handler that Prometheus scrapes.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Registry: m.registry})
}

// ObserveRequest counts a caller's request and records its duration.
func (m *Metrics) ObserveRequest(service, rank string, o outcome.Outcome, took time.Duration) {
	name := outcome.Name(o)
	m.requests.WithLabelValues(service, rank, name).Inc()
	m.requestDuration.WithLabelValues(service, rank, name).Observe(took.Seconds())
}

// CountAttempt counts an attempt to run a request on a backend server.
func (m *Metrics) CountAttempt(server string, o outcome.Outcome) {
	m.attempts.WithLabelValues(server, outcome.Name(o)).Inc()
}

// CountPlatformCall counts a call to the platform by its operation, such as "read", and its result, such as "ok"
// or an error kind.
func (m *Metrics) CountPlatformCall(call, result string) {
	m.platformCalls.WithLabelValues(call, result).Inc()
}

// AddPlatformWatches changes the number of open watches on the platform by delta: 1 for a new watch, -1 for one that
// ended.
func (m *Metrics) AddPlatformWatches(delta float64) { m.platformWatches.Add(delta) }

// SetHostState sets one value of the host's state. The label fact names the value, for example "is_ready".
func (m *Metrics) SetHostState(fact string, value float64) {
	m.hostState.WithLabelValues(fact).Set(value)
}

// SetServerWork sets the number of requests that wait for a backend server and that run on it.
func (m *Metrics) SetServerWork(server string, waiting, running int) {
	m.serverWork.WithLabelValues(server, "waiting").Set(float64(waiting))
	m.serverWork.WithLabelValues(server, "running").Set(float64(running))
}

// CountOwnershipMoves counts n units, which are slots and hot keys, of a service that changed owner.
func (m *Metrics) CountOwnershipMoves(service string, n int) {
	m.ownershipMoves.WithLabelValues(service).Add(float64(n))
}

// SetPeerBytes sets the numbers of bytes sent to and received from other entry hosts since the start.
func (m *Metrics) SetPeerBytes(sent, received int64) {
	m.peerBytes.WithLabelValues("sent").Set(float64(sent))
	m.peerBytes.WithLabelValues("received").Set(float64(received))
}

// RecordUnserved sets the number of unserved slots of a service, which the metrics call units, and adds slots × elapsed
// to its unserved time. A slot is unserved if it has no owner, or if its owner is down or has no lease holder.
func (m *Metrics) RecordUnserved(service string, slots int, elapsed time.Duration) {
	m.unservedUnits.WithLabelValues(service).Set(float64(slots))
	m.unservedSeconds.WithLabelValues(service).Add(float64(slots) * elapsed.Seconds())
}

// SetLoadImbalance sets the ratio of the request rate of a service's busiest backend server to the mean rate.
func (m *Metrics) SetLoadImbalance(service string, ratio float64) {
	m.loadImbalance.WithLabelValues(service).Set(ratio)
}

// SetAge sets the time since the latest message from a source: "arbiter" (the leader), "monitor" or "platform".
func (m *Metrics) SetAge(source string, age time.Duration) {
	m.ages.WithLabelValues(source).Set(age.Seconds())
}
