package host

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
)

const (
	// linesPerSecond bounds the lines about requests, so that logs never slow
	// down answers; what is above is counted.
	linesPerSecond = 40
	// bucketStart, bucketFactor and bucketCount span 1 ms to about 16 s.
	bucketStart  = 0.001
	bucketFactor = 2
	bucketCount  = 15
)

// Metrics are the counters of a host.
type Metrics struct {
	answers    *prometheus.CounterVec
	took       *prometheus.HistogramVec
	attempts   *prometheus.CounterVec
	missing    prometheus.Counter
	unlogged   prometheus.Counter
	badRecords prometheus.Counter
	relayed    *prometheus.CounterVec
	version    prometheus.Gauge
}

// NewMetrics registers the metrics of a host.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailshelf_answers_total", Help: "Answers to callers by route, status and reason.",
		}, []string{"route", "status", "reason"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "foxtailshelf_answer_seconds", Help: "Time from a request to its answer.",
			Buckets: prometheus.ExponentialBuckets(bucketStart, bucketFactor, bucketCount),
		}, []string{"route"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailshelf_attempts_total", Help: "Attempts at upstreams by cause: first, late, retry.",
		}, []string{"cause"}),
		missing: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "foxtailshelf_missing_parts_total", Help: "Parts that were not in an answer.",
		}),
		unlogged: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "foxtailshelf_unlogged_lines_total", Help: "Lines about requests that were above the bound.",
		}),
		badRecords: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "foxtailshelf_bad_records_total", Help: "Keys of the store that could not be read.",
		}),
		relayed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailshelf_relayed_attempts_total", Help: "Attempts run for hosts that do not dial a service, by result.",
		}, []string{"result"}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "foxtailshelf_configuration_version", Help: "Version of the configuration in force.",
		}),
	}
	registry.MustRegister(m.answers, m.took, m.attempts, m.missing, m.unlogged, m.badRecords, m.relayed, m.version)
	return m
}

// A journal writes a line for each request that did not go as planned.
type journal struct {
	log     logrus.FieldLogger
	metrics *Metrics
	// age returns how long ago this host's copy of the store was the newest.
	age func() time.Duration

	mu sync.Mutex
	// second is the second that lines counts.
	second int64
	lines  int
}

func (j *journal) decided(d dispatch.Summary) {
	m := j.metrics
	m.answers.WithLabelValues(d.Route, strconv.Itoa(d.Status), string(d.Reason)).Inc()
	m.took.WithLabelValues(d.Route).Observe(d.Elapsed.Seconds())
	m.attempts.WithLabelValues("first").Add(float64(d.Attempts - d.Hedges - d.Retries))
	m.attempts.WithLabelValues("late").Add(float64(d.Hedges))
	m.attempts.WithLabelValues("retry").Add(float64(d.Retries))
	m.missing.Add(float64(d.MissingParts))
	planned := d.Reason == dispatch.ReasonNone && d.MissingParts == 0 && d.Retries == 0
	if planned {
		return
	}
	if !j.admit() {
		m.unlogged.Inc()
		return
	}
	j.log.WithFields(logrus.Fields{
		"request": d.RequestID, "route": d.Route, "version": d.Version, "status": d.Status, "reason": string(d.Reason),
		"parts": d.Parts, "missing": d.MissingParts, "attempts": d.Attempts, "late": d.Hedges, "retried": d.Retries,
		"lacking": d.MissingDetails, "failure": d.LastFailure, "took-ms": d.Elapsed.Milliseconds(),
		"store-age-ms": j.age().Milliseconds(),
	}).Info("request answered")
}

// admit reports whether a line may be written in this second.
func (j *journal) admit() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if now := time.Now().Unix(); now != j.second {
		j.second, j.lines = now, 0
	}
	j.lines++
	return j.lines <= linesPerSecond
}
