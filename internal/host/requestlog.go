package host

import (
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/crashguard"
	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/reachability"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

const (
	// maxLogLinesPerSecond bounds the lines of the request log, so that logging does not
	// slow down answers. Lines above the limit are counted in a metric.
	maxLogLinesPerSecond = 40
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
	retests              *prometheus.CounterVec
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
		retests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailshelf_upstream_retests_total", Help: "Connections opened to upstreams that were not reached, by result: reached, unreachable.",
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

// A requestLog updates the metrics for each request that was run on a route. It logs a line
// if the request failed, was retried or was answered without all parts, but not if it was
// only hedged.
type requestLog struct {
	log     logrus.FieldLogger
	metrics *Metrics
	// mirrorAge returns the time since the mirror was last confirmed to be up to date
	// with the store.
	mirrorAge func() time.Duration
	// links is what the host's own connections to upstreams have shown.
	links *reachability.Tracker
	// evacuated returns the evacuated data centres.
	evacuated func() []string

	mu sync.Mutex
	// currentSecond is the Unix time in seconds to which lineCount applies.
	currentSecond int64
	lineCount     int
}

// record updates the metrics with a finished request. If the request needs a line,
// record logs the line, or counts it in unloggedLines if the limit of the current
// second is reached.
func (l *requestLog) record(s dispatch.Summary) {
	m := l.metrics
	m.answers.WithLabelValues(s.Route, strconv.Itoa(s.Status), string(s.Reason)).Inc()
	m.answerSeconds.WithLabelValues(s.Route).Observe(s.Elapsed.Seconds())
	m.attempts.WithLabelValues("first").Add(float64(s.Attempts - s.Hedges - s.Retries))
	m.attempts.WithLabelValues("late").Add(float64(s.Hedges))
	m.attempts.WithLabelValues("retry").Add(float64(s.Retries))
	m.missingParts.Add(float64(s.MissingParts))
	m.recordAdmission(s)
	isClean := s.Reason == dispatch.ReasonNone && s.MissingParts == 0 && s.Retries == 0
	if isClean {
		return
	}
	if !l.allowLine() {
		m.unloggedLines.Inc()
		return
	}
	fields := logrus.Fields{
		"request": s.RequestID, "fingerprint": quarantine.FormatFingerprint(s.Fingerprint), "account": s.Account, "route": s.Route, "version": s.Version, "status": s.Status, "reason": string(s.Reason),
		"parts": s.Parts, "missing": s.MissingParts, "attempts": s.Attempts, "late": s.Hedges, "retried": s.Retries,
		"lacking": s.MissingDetails, "failure": s.LastFailure, "took-ms": s.Elapsed.Milliseconds(),
		"store-age-ms": l.mirrorAge().Milliseconds(), "unanswered": s.Unanswered, "ended": s.EndedUpstreams, "probed": s.Probed,
	}
	maps.Copy(fields, linkFields(l.links.Summary(time.Now())))
	if list := l.evacuated(); len(list) > 0 {
		fields["evacuated"] = list
	}
	maps.Copy(fields, admissionFields(s))
	if s.Verdict.Decision != quarantine.Allowed {
		maps.Copy(fields, s.Verdict.LogFields())
	}
	l.log.WithFields(fields).Info("request answered")
}

// recordAttempt updates the metrics with an attempt that has ended, and logs it if its
// upstream sent no complete response, subject to the limit of lines.
func (l *requestLog) recordAttempt(a *upstream.Attempt, fingerprint uint64, o upstream.Outcome) {
	l.metrics.attemptResults.WithLabelValues(o.Result.String()).Inc()
	if !o.RestUntil.IsZero() || o.RestErr != nil {
		l.recordRest(a, o)
	}
	if o.Result != upstream.Broken && o.Result != upstream.Unreachable {
		return
	}
	if !l.allowLine() {
		l.metrics.unloggedLines.Inc()
		return
	}
	l.log.WithFields(logrus.Fields{
		"request": a.RequestID, "fingerprint": quarantine.FormatFingerprint(fingerprint), "upstream": a.UpstreamID, "result": o.Result.String(),
		"refused": o.ConnectionRefused, "relayed": a.Relay != nil, "account": a.Account,
	}).WithError(o.Err).Info("attempt without a response")
}

// recordProbe updates the metrics with a probe of an upstream, and logs one that failed.
func (l *requestLog) recordProbe(upstreamID string, r upstream.Reachability) {
	l.metrics.probes.WithLabelValues(r.String()).Inc()
	if r == upstream.Reachable || !l.allowLine() {
		return
	}
	l.log.WithFields(logrus.Fields{"upstream": upstreamID, "result": r.String()}).WithFields(linkFields(l.links.Summary(time.Now()))).Info("probe of upstream failed")
}

// recordRest updates the metrics with an upstream that asks for rest, and logs it subject
// to the limit of lines.
func (l *requestLog) recordRest(a *upstream.Attempt, o upstream.Outcome) {
	l.metrics.rests.Inc()
	if !l.allowLine() {
		l.metrics.unloggedLines.Inc()
		return
	}
	id := a.UpstreamID
	if o.ForwardedTo != "" {
		id = o.ForwardedTo
	}
	line := l.log.WithFields(logrus.Fields{"request": a.RequestID, "upstream": id, "rest-ms": max(0, time.Until(o.RestUntil)).Milliseconds(), "relayed": a.Relay != nil})
	if o.RestErr != nil {
		line.WithError(o.RestErr).Warn("upstream asks for rest for an implausible time")
		return
	}
	line.Info("upstream asks for rest")
}

// recordLimit updates the metrics with a change of an upstream's limit on requests, and logs
// it subject to the limit of lines.
func (l *requestLog) recordLimit(u inventory.Upstream, limit float64, err error) {
	l.metrics.limitChanges.Inc()
	if !l.allowLine() {
		l.metrics.unloggedLines.Inc()
		return
	}
	line := l.log.WithFields(logrus.Fields{"upstream": u.ID(), "service": u.Service(), "limit": limit})
	if err != nil {
		line.WithError(err).Warn("upstream states an implausible limit on requests")
		return
	}
	line.Info("limit on requests of an upstream has changed")
}

// linkFields returns the state of the links to the upstreams as it is logged.
func linkFields(s reachability.Summary) logrus.Fields {
	return logrus.Fields{"links": string(s.State), "heard-ms-ago": s.HeardAgo.Milliseconds(), "failed-links": s.Failed}
}

// allowLine counts a line and reports whether it is within the limit of the current second.
func (l *requestLog) allowLine() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now().Unix(); now != l.currentSecond {
		l.currentSecond, l.lineCount = now, 0
	}
	l.lineCount++
	return l.lineCount <= maxLogLinesPerSecond
}

// allowOrCountLine is allowLine; it counts the lines that are above the limit.
func (l *requestLog) allowOrCountLine() bool {
	if l.allowLine() {
		return true
	}
	l.metrics.unloggedLines.Inc()
	return false
}
