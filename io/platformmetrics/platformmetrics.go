// Package platformmetrics exports the Prometheus metrics of an entry host that package redwingsill/platform runs on
// the hosting platform of the project's users. Other entry hosts use package metrics.
package platformmetrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"redwingsill/core/attemptresult"
	"redwingsill/core/ownershipevent"
)

// Metrics holds the Prometheus collectors of one host, and implements forward.Metrics and
// coordination.Metrics. Its methods are safe for
// concurrent use.
type Metrics struct {
	registry        *prometheus.Registry
	requestDuration *prometheus.HistogramVec
	attempts        *prometheus.CounterVec
	storeCalls      *prometheus.CounterVec
	rangesFreed     *prometheus.CounterVec
	rangesFenced    *prometheus.CounterVec
	leavingServers  *prometheus.CounterVec
	pauses          *prometheus.CounterVec
	invalid         *prometheus.CounterVec
	coldChecks      *prometheus.CounterVec
	refusedBodies   *prometheus.CounterVec
}

// New returns metrics with their collectors registered.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requestDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "redwingsill_request_duration_seconds",
			Help:    "Time from a caller's request to its outcome, by service, rank and outcome.",
			Buckets: []float64{.005, .013, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4}}, []string{"service", "rank", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_attempts_total",
			Help: "Requests sent to backend servers, by service and result."}, []string{"service", "result"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_store_calls_total",
			Help: "Calls to the store, by call and result."}, []string{"call", "result"}),
		rangesFreed: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_ranges_freed_total",
			Help: "Key ranges that this host, as the coordinator, freed for a new owner, by service and reason."}, []string{"service", "reason"}),
		rangesFenced: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_ranges_fenced_total",
			Help: "Key ranges whose fencing token this host, as the coordinator, raised before their release, by service and reason."}, []string{"service", "reason"}),
		leavingServers: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_leaving_servers_total",
			Help: "Backend servers that this host heard leave from their answers, by service."}, []string{"service"}),
		pauses: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_pauses_total",
			Help: "Answers in which a backend server asked this host for a pause, by service."}, []string{"service"}),
		invalid: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_invalid_responses_total",
			Help: "Texts in place of a response that backend servers sent, by service."}, []string{"service"}),
		coldChecks: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_cold_checks_total",
			Help: "Health requests to backend servers that may have turned cold, by service and whether they had."}, []string{"service", "is_cold"}),
		refusedBodies: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "redwingsill_refused_bodies_total",
			Help: "Requests that were refused before their long body was read, by service and reason."}, []string{"service", "reason"}),
	}
	m.registry.MustRegister(m.requestDuration, m.attempts, m.storeCalls, m.rangesFreed, m.rangesFenced, m.leavingServers, m.pauses, m.invalid,
		m.coldChecks, m.refusedBodies)
	return m
}

// RegisterGauge registers a gauge whose value is read on each scrape.
func (m *Metrics) RegisterGauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// ObserveRequest counts a finished request of a caller and records its duration. Rank 0 is the most urgent.
func (m *Metrics) ObserveRequest(service string, rank int, outcome string, took time.Duration) {
	m.requestDuration.WithLabelValues(service, strconv.Itoa(rank), outcome).Observe(took.Seconds())
}

// CountAttempt counts an attempt to send a request to a backend server of a service, by its result.
func (m *Metrics) CountAttempt(service string, result attemptresult.Status) {
	m.attempts.WithLabelValues(service, result.String()).Inc()
}

// CountInvalidResponse counts what a backend server of a service sent that is no response.
func (m *Metrics) CountInvalidResponse(service string) { m.invalid.WithLabelValues(service).Inc() }

// CountLeavingServer counts a backend server of a service whose answer said for the first time that it leaves.
func (m *Metrics) CountLeavingServer(service string) { m.leavingServers.WithLabelValues(service).Inc() }

// CountPause counts an answer in which a backend server of a service asked for a pause.
func (m *Metrics) CountPause(service string) { m.pauses.WithLabelValues(service).Inc() }

// CountColdCheck counts a health request to a backend server of a service, and whether the server was cold.
func (m *Metrics) CountColdCheck(service string, isCold bool) {
	m.coldChecks.WithLabelValues(service, strconv.FormatBool(isCold)).Inc()
}

// CountRefusedBody counts a request for a service that was refused before its long body was read, by the reason.
func (m *Metrics) CountRefusedBody(service, reason string) {
	m.refusedBodies.WithLabelValues(service, reason).Inc()
}

// CountStoreCall counts a call to the platform's key-value store. The parameter call is the operation, and result is
// "Done" or an error kind, or "UnreadableItem" for an item that was left out of a response.
func (m *Metrics) CountStoreCall(call, result string) {
	m.storeCalls.WithLabelValues(call, result).Inc()
}

// CountFencedRange counts a key range of a service whose owner was granted it under a higher token before its release, and why.
func (m *Metrics) CountFencedRange(service string, reason ownershipevent.LateGrant) {
	m.rangesFenced.WithLabelValues(service, reason.String()).Inc()
}

// CountFreedRange counts a key range of a service that the coordinator freed for a new owner, and why.
func (m *Metrics) CountFreedRange(service string, reason ownershipevent.Reason) {
	m.rangesFreed.WithLabelValues(service, reason.String()).Inc()
}

// Handler returns the handler that Prometheus scrapes. It serves one scrape at a time and answers others with status
// 503.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 1})
}
