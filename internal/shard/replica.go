package shard

import (
	_ "embed"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/chart"
	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
)

//go:embed replica.chart.json
var replicaChartFile []byte

var replicaChart = chart.MustParse(replicaChartFile)

const (
	replicaReady    chart.State = "ready"
	replicaWarming  chart.State = "warming"
	replicaDraining chart.State = "draining"
	replicaLost     chart.State = "lost"
)

// replica is the group's view of one upstream.
type replica struct {
	spec catalog.UpstreamSpec
	// state is a state of replica.chart.json.
	state chart.State
	// stateSince is when the replica entered its state.
	stateSince time.Time
	// runningAttempts counts attempts whose end has not been reported.
	runningAttempts int
	// suspectAttempts counts running attempts of jobs that were running during
	// a crash.
	suspectAttempts int
	// meanMicros is a moving average of run times in microseconds; zero if
	// there is none.
	meanMicros float64
	// pausedUntil is until when the replica gets no attempts, because the upstream
	// has shed load.
	pausedUntil time.Time
	// nextSlowJobAt is when the replica may get its next job while it is slow.
	nextSlowJobAt time.Time
	// nextProbeAt is when to probe a lost replica; zero while a probe is
	// running.
	nextProbeAt time.Time
	// probeDelay is doubled after each probe without response, and is the delay until
	// the next probe then.
	probeDelay time.Duration
	// versions holds the versions of the last report, without those refused as gone
	// since.
	versions map[snapshot.Version]bool
	// unavailableAt holds, by version, when the upstream refused it as gone.
	unavailableAt map[snapshot.Version]time.Time
	// adaptiveLimit is the adaptive limit of running attempts, from 1 to
	// spec.Slots.
	adaptiveLimit float64
	// lowestMeanMicros is the lowest mean run time seen, in microseconds.
	lowestMeanMicros float64
	// drainReported is true if the draining state comes from the upstream's own
	// reports and not from the definition.
	drainReported bool
}

func newReplica(spec catalog.UpstreamSpec, now time.Time) *replica {
	r := &replica{
		spec: spec, state: replicaChart.Initial(), stateSince: now, probeDelay: minProbeDelay, adaptiveLimit: 1,
		versions: make(map[snapshot.Version]bool), unavailableAt: make(map[snapshot.Version]time.Time),
	}
	if spec.Drain {
		r.fire(now, "drain")
	}
	return r
}

// fire applies an event of the state chart. Events that the current state does
// not accept are ignored.
func (r *replica) fire(now time.Time, e chart.Event) {
	next := replicaChart.NextOrSame(r.state, e)
	if next != r.state {
		r.state = next
		r.stateSince = now
	}
}

// attemptLimit returns how many attempts may run at once; zero until pausedUntil.
func (r *replica) attemptLimit(now time.Time, warmupWindow time.Duration) int {
	if now.Before(r.pausedUntil) {
		return 0
	}
	return r.capacity(now, warmupWindow)
}

// capacity is attemptLimit without regard to pausedUntil.
func (r *replica) capacity(now time.Time, warmupWindow time.Duration) int {
	switch r.state {
	case replicaReady:
		return r.spec.Slots
	case replicaWarming:
		warmSlots := int(int64(r.spec.Slots) * int64(now.Sub(r.stateSince)) / int64(warmupWindow))
		return min(max(1, warmSlots), r.spec.Slots)
	default:
		return 0
	}
}

// markLost records that the upstream could not be reached or broke a connection, and
// makes it due for a probe.
func (r *replica) markLost(now time.Time) {
	if r.state == replicaLost {
		return
	}
	r.fire(now, "lose")
	r.probeDelay = minProbeDelay
	r.nextProbeAt = now
}

// recordRunTime updates the mean run time. The run time of an attempt that was
// cancelled or got no response is only a lower bound, and counts only if it is
// above the mean.
func (r *replica) recordRunTime(d time.Duration, lowerBound bool) {
	micros := float64(d.Microseconds())
	if lowerBound && micros < r.meanMicros {
		return
	}
	if r.meanMicros == 0 {
		r.meanMicros = micros
		return
	}
	r.meanMicros += meanWeight * (micros - r.meanMicros)
}

// adjustLimit changes the adaptive limit after a run. A limit of n slots grows by
// one slot in about n fast runs, and shrinks after each slow run.
func (r *replica) adjustLimit(d time.Duration) {
	micros := float64(d.Microseconds())
	if r.lowestMeanMicros == 0 || r.meanMicros < r.lowestMeanMicros {
		r.lowestMeanMicros = r.meanMicros
	}
	if micros > slowRunFactor*r.lowestMeanMicros {
		r.adaptiveLimit = max(1, r.adaptiveLimit*limitDecreaseFactor)
		return
	}
	r.adaptiveLimit = min(float64(r.spec.Slots), r.adaptiveLimit+1/r.adaptiveLimit)
}

// score is the mean run time multiplied by the ratio of the slots that would be in
// use with one more attempt. The replica with the lowest score gets the next job.
func (r *replica) score() float64 {
	return (r.meanMicros + 1) * float64(r.runningAttempts+1) / float64(r.spec.Slots)
}

// isUsable reports whether the replica takes new attempts at all.
func (r *replica) isUsable() bool {
	return r.state == replicaReady || r.state == replicaWarming
}

// serves reports whether the replica holds a version, according to its reports
// and recent refusals. The zero version is held by all replicas.
func (r *replica) serves(now time.Time, v snapshot.Version) bool {
	if at, ok := r.unavailableAt[v]; ok && now.Sub(at) < versionGonePeriod {
		return false
	}
	return v.IsZero() || r.versions[v]
}
