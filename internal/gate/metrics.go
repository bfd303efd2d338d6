package gate

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/foxtailshelf/foxtailshelf/internal/shard"
)

// Metrics holds the metrics of a gate.
type Metrics struct {
	shardRequests *prometheus.CounterVec
	attempts      *prometheus.CounterVec
	outcomes      *prometheus.CounterVec
	quarantines   prometheus.Counter
}

// NewMetrics registers the metrics of a gate.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		shardRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailshelf_gate_shard_requests_total", Help: "Shard requests that ended, the planned attempts.",
		}, []string{"service"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailshelf_gate_attempts_total", Help: "Attempts started on upstreams; hedge is yes or no.",
		}, []string{"service", "hedge"}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailshelf_gate_outcomes_total", Help: "Ends of shard requests by outcome and reason.",
		}, []string{"service", "outcome", "reason"}),
		quarantines: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "foxtailshelf_gate_quarantines_total", Help: "Requests quarantined for crashing upstreams.",
		}),
	}
	registry.MustRegister(m.shardRequests, m.attempts, m.outcomes, m.quarantines)
	return m
}

func (m *Metrics) recordCompletion(service string, c shard.Complete) {
	m.shardRequests.WithLabelValues(service).Inc()
	m.outcomes.WithLabelValues(service, c.Outcome.String(), string(c.Reason)).Inc()
}

func (m *Metrics) recordStart(service string, a shard.StartAttempt) {
	hedge := "no"
	if a.Hedge {
		hedge = "yes"
	}
	m.attempts.WithLabelValues(service, hedge).Inc()
}
