package host

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/foxtailshelf/foxtailshelf/internal/crashguard"
)

const (
	// The buckets of the answer histogram span 1 ms to about 16 s.
	bucketStartSeconds = 0.001
	bucketFactor       = 2
	bucketCount        = 15
)

// Metrics are the Prometheus metrics of a host.
type Metrics struct {
	crashes              *crashguard.Metrics
	answers              *prometheus.CounterVec
	answerSeconds        *prometheus.HistogramVec
	attempts             *prometheus.CounterVec
	attemptResults       *prometheus.CounterVec
	storeEras            prometheus.Counter
	leavingUpstreams     prometheus.Counter
	rests                prometheus.Counter
	limitChanges         prometheus.Counter
	missingParts         prometheus.Counter
	unloggedLines        prometheus.Counter
	badRecords           prometheus.Counter
	relayedAttempts      *prometheus.CounterVec
	configurationVersion prometheus.Gauge
	partitioned          prometheus.Gauge
	probes               *prometheus.CounterVec
	reconnects           *prometheus.CounterVec
	accountRequests      *prometheus.CounterVec
	tokenCalls           *prometheus.CounterVec
	evacuationMetrics
	waitingRequests prometheus.Gauge
	admissions      *prometheus.CounterVec
}

// NewMetrics registers the metrics of a host.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		crashes: crashguard.NewMetrics(registry),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailshelf_answers_total", Help: "Answers to callers by route, status and reason.",
		}, []string{"route", "status", "reason"}),
		answerSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "foxtailshelf_answer_seconds", Help: "Time from a request to its answer.",
			Buckets: prometheus.ExponentialBuckets(bucketStartSeconds, bucketFactor, bucketCount),
		}, []string{"route"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailshelf_attempts_total", Help: "Attempts at upstreams by cause: first, late, retry.",
		}, []string{"cause"}),
		attemptResults: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailshelf_attempt_results_total", Help: "Attempts at upstreams by result.",
		}, []string{"result"}),
		storeEras: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "foxtailshelf_store_eras_total", Help: "Returns of the store from a copy that this host has seen.",
		}),
		leavingUpstreams: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "foxtailshelf_leaving_upstreams_total", Help: "Upstreams that have stated that they leave.",
		}),
		rests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "foxtailshelf_rests_total", Help: "Responses of upstreams that ask for rest.",
		}),
		limitChanges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "foxtailshelf_limit_changes_total", Help: "Changes of the limits on requests that upstreams have stated.",
		}),
		missingParts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "foxtailshelf_missing_parts_total", Help: "Parts that were not in an answer.",
		}),
		unloggedLines: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "foxtailshelf_unlogged_lines_total", Help: "Lines about requests that were above the bound.",
		}),
		badRecords: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "foxtailshelf_bad_records_total", Help: "Keys of the store that could not be read.",
		}),
		relayedAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailshelf_relayed_attempts_total", Help: "Attempts run for hosts that do not dial a service, by result.",
		}, []string{"result"}),
		configurationVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "foxtailshelf_configuration_version", Help: "Version of the configuration in force.",
		}),
		partitioned: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "foxtailshelf_partitioned", Help: "1 while this host cannot make connections to any upstream.",
		}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailshelf_upstream_probes_total", Help: "Connections opened to find out whether an upstream runs, by result.",
		}, []string{"result"}),
		reconnects: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailshelf_upstream_reconnects_total", Help: "Connections opened to upstreams that were not reached, by result: reached, unreachable.",
		}, []string{"result"}),
		waitingRequests: newWaitingRequests(),
		admissions:      newAdmissions(),
	}
	m.accountRequests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "foxtailshelf_account_requests_total", Help: "Requests of limited client accounts by outcome: admitted, own-allowance, refused.",
	}, []string{"outcome"})
	m.tokenCalls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "foxtailshelf_token_calls_total", Help: "Calls to other hosts for tokens of client accounts by result: issued, none, not-issuer, failed.",
	}, []string{"result"})
	registry.MustRegister(m.accountRequests, m.tokenCalls)
	registry.MustRegister(m.waitingRequests, m.admissions)
	registry.MustRegister(m.answers, m.answerSeconds, m.attempts, m.attemptResults, m.storeEras, m.leavingUpstreams, m.rests, m.limitChanges, m.missingParts, m.unloggedLines, m.badRecords, m.relayedAttempts, m.configurationVersion, m.partitioned, m.probes)
	m.evacuationMetrics = newEvacuationMetrics(registry)
	return m
}
