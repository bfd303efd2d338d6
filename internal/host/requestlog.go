package host

import (
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/reachability"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// maxLogLinesPerSecond bounds the lines of the request log, so that logging does not
// slow down answers. Lines above the limit are counted in a metric.
const maxLogLinesPerSecond = 40

// A requestLog updates the metrics for each request that was run on a route. It logs a line
// if the request failed, was retried or was answered without all parts, but not if it was
// only hedged.
type requestLog struct {
	log     logrus.FieldLogger
	metrics *Metrics
	// mirrorAge returns the time since the mirror was last confirmed to be up to date
	// with the store.
	mirrorAge func() time.Duration
	// sinceStop returns how long ago the stop of the host began; zero if it does not stop.
	sinceStop func() time.Duration
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
	if stopping := l.sinceStop(); stopping > 0 {
		fields["stopping-ms"] = stopping.Milliseconds()
		maps.Copy(fields, stopFields(s.StopEstimate))
	}
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

// recordStopRefusal logs a request that is refused on its arrival because the host stops, subject to the
// limit of lines.
func (l *requestLog) recordStopRefusal(requestID, route string, e dispatch.StopEstimate) {
	if l.allowOrCountLine() {
		l.log.WithFields(logrus.Fields{"request": requestID, "route": route, "stopping-ms": l.sinceStop().Milliseconds()}).WithFields(stopFields(e)).Info("request refused by the stopping host")
	}
}

// stopFields returns an estimate as it is logged.
func stopFields(e dispatch.StopEstimate) logrus.Fields {
	return logrus.Fields{"expected-ms": e.Duration.Milliseconds(), "queue-wait-ms": e.QueueWait.Milliseconds()}
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
