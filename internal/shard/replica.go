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

// replica is what the owner knows of one upstream.
type replica struct {
	spec catalog.UpstreamSpec
	// state is a state of replica.chart.json.
	state chart.State
	// since is when state was entered.
	since time.Time
	// running counts attempts whose end was not yet reported.
	running int
	// suspects counts running attempts of suspect jobs.
	suspects int
	// mean is a moving average of run times in microseconds; zero if none.
	mean float64
	// pausedUntil is set by upstreams that shed load.
	pausedUntil time.Time
	// slowUntil is when a slow replica may get its next job.
	slowUntil time.Time
	// probeAt is when to probe a lost replica; zero while a probe runs.
	probeAt    time.Time
	probePause time.Duration
	// versions are those of the last report.
	versions map[snapshot.Version]bool
	// gone holds when the upstream itself said a version is gone.
	gone map[snapshot.Version]time.Time
	// limit is the adaptive limit in slots, between 1 and those of spec.
	limit float64
	// best is the shortest average run time seen, in microseconds.
	best float64
	// hinted is true if only a health report said it is draining.
	hinted bool
}

func newReplica(spec catalog.UpstreamSpec, now time.Time) *replica {
	r := &replica{
		spec: spec, state: replicaChart.Initial(), since: now, probePause: probeFirst, limit: 1,
		versions: make(map[snapshot.Version]bool), gone: make(map[snapshot.Version]time.Time),
	}
	if spec.Drain {
		r.fire(now, "drain")
	}
	return r
}

// fire moves the replica along its chart.
func (r *replica) fire(now time.Time, e chart.Event) {
	next := replicaChart.NextOrSame(r.state, e)
	if next != r.state {
		r.state = next
		r.since = now
	}
}

// allowed returns how many attempts may run at once.
func (r *replica) allowed(now time.Time, warmWindow time.Duration) int {
	if now.Before(r.pausedUntil) {
		return 0
	}
	return r.capacity(now, warmWindow)
}

// capacity is allowed, but disregards short pauses.
func (r *replica) capacity(now time.Time, warmWindow time.Duration) int {
	switch r.state {
	case replicaReady:
		return r.spec.Slots
	case replicaWarming:
		share := int(int64(r.spec.Slots) * int64(now.Sub(r.since)) / int64(warmWindow))
		return min(max(1, share), r.spec.Slots)
	default:
		return 0
	}
}

// lose notes that the upstream could not be reached.
func (r *replica) lose(now time.Time) {
	if r.state == replicaLost {
		return
	}
	r.fire(now, "lose")
	r.probePause = probeFirst
	r.probeAt = now
}

// observe learns from the run time of an attempt. A lower bound, of an
// attempt that was cancelled, only counts if it is above the average.
func (r *replica) observe(d time.Duration, lowerBound bool) {
	micros := float64(d.Microseconds())
	if lowerBound && micros < r.mean {
		return
	}
	if r.mean == 0 {
		r.mean = micros
		return
	}
	r.mean += meanWeight * (micros - r.mean)
}

// adapt changes the adaptive limit after a run: it grows by one slot for each
// slot's worth of fast runs, and shrinks with each slow one.
func (r *replica) adapt(d time.Duration) {
	micros := float64(d.Microseconds())
	if r.best == 0 || r.mean < r.best {
		r.best = r.mean
	}
	if micros > limitFactor*r.best {
		r.limit = max(1, r.limit*limitShrink)
		return
	}
	r.limit = min(float64(r.spec.Slots), r.limit+1/r.limit)
}

// score orders replicas; the lowest gets the next job.
func (r *replica) score() float64 {
	return (r.mean + 1) * float64(r.running+1) / float64(r.spec.Slots)
}

// usable reports whether the replica takes new work at all.
func (r *replica) usable() bool {
	return r.state == replicaReady || r.state == replicaWarming
}

// serves reports whether the replica is known to hold a version.
func (r *replica) serves(now time.Time, v snapshot.Version) bool {
	if at, ok := r.gone[v]; ok && now.Sub(at) < goneTime {
		return false
	}
	return v.IsZero() || r.versions[v]
}
