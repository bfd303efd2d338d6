package crashguard

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the Prometheus metrics of a Guard and its Alerts.
type Metrics struct {
	suspectRequests *prometheus.GaugeVec
	testRuns        *prometheus.CounterVec
	upstreamCrashes prometheus.Counter
	crashAlerts     prometheus.Counter
	canaries        *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		suspectRequests: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "foxtailshelf_suspect_requests", Help: "Requests that seem to crash upstreams by decision: suspect, awaiting-test, quarantined.",
		}, []string{"decision"}),
		testRuns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailshelf_test_runs_total", Help: "Test runs of suspect requests by result: answered, unanswered, not-run.",
		}, []string{"result"}),
		upstreamCrashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "foxtailshelf_upstream_crashes_total", Help: "Upstreams that ended while they ran a request, counted for each request.",
		}),
		crashAlerts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "foxtailshelf_crash_alerts_total", Help: "Crash alerts that this host has raised or learned of.",
		}),
		canaries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailshelf_canaries_total", Help: "Canaries of searches by result: answered, ended, overdue, not-run.",
		}, []string{"result"}),
	}
	registry.MustRegister(m.suspectRequests, m.testRuns, m.upstreamCrashes, m.crashAlerts, m.canaries)
	return m
}
