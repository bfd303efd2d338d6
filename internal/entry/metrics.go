package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the metrics of an entry.
type Metrics struct {
	latency       *prometheus.HistogramVec
	coverage      *prometheus.HistogramVec
	plannedShards *prometheus.CounterVec
	attempts      *prometheus.CounterVec
	refusals      *prometheus.CounterVec
}

// NewMetrics registers the metrics of an entry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "foxtailshelf_request_seconds", Help: "Time from admission to answer.",
			Buckets: []float64{0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2, 5, 10},
		}, []string{"service", "urgency", "status"}),
		coverage: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "foxtailshelf_coverage_ratio", Help: "Answered share of the planned weight.",
			Buckets: []float64{0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999},
		}, []string{"service", "urgency"}),
		plannedShards: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailshelf_planned_shards_total", Help: "Planned shard requests of answered requests.",
		}, []string{"service"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailshelf_attempts_total", Help: "Attempts of answered requests; over planned shards it is the extra load.",
		}, []string{"service"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailshelf_refusals_total", Help: "Requests without a complete answer by reason.",
		}, []string{"service", "urgency", "status", "reason"}),
	}
	registry.MustRegister(m.latency, m.coverage, m.plannedShards, m.attempts, m.refusals)
	return m
}

func (m *Metrics) recordAnswer(r *request, a AnswerDocument, elapsed time.Duration) {
	service, urgency := r.service.Name(), r.kind.Urgency().String()
	m.latency.WithLabelValues(service, urgency, a.Status).Observe(elapsed.Seconds())
	m.coverage.WithLabelValues(service, urgency).Observe(a.Coverage)
	m.plannedShards.WithLabelValues(service).Add(float64(len(a.Results) + len(a.Missing)))
	m.attempts.WithLabelValues(service).Add(float64(a.Attempts))
	if len(a.Missing) > 0 || a.Reason != "" {
		m.refusals.WithLabelValues(service, urgency, a.Status, a.Reason).Inc()
	}
}
