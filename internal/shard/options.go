package shard

import "time"

// HedgeMode says when a second replica is tried.
type HedgeMode int

// The hedge modes.
const (
	// HedgeQueueHead puts hedges before all queued jobs.
	HedgeQueueHead HedgeMode = iota
	// HedgeFreeSlot starts hedges only if a slot is free at once.
	HedgeFreeSlot
	// HedgeNever starts no hedges.
	HedgeNever
)

// Options are the policies of a Group.
type Options struct {
	Hedge HedgeMode
	// ExtraAttemptRatio is the share of extra attempts, from 0 to 1.
	ExtraAttemptRatio float64
	// InitialHedgeDelay is used until enough attempts were seen.
	InitialHedgeDelay time.Duration
	// ExtraAttemptBurst is how many extra attempts may come at once.
	ExtraAttemptBurst float64
	// AdaptiveLimit learns how many slots to use from the run times, for an
	// owner that shares its upstreams with others it does not know of. It is
	// the baseline that owned groups are measured against.
	AdaptiveLimit bool
	// NoAdmission accepts jobs that cannot be done by their deadline.
	NoAdmission bool
	// WarmupWindow is how long a cold upstream takes to get all its slots.
	WarmupWindow time.Duration
	// LeastUrgentEvery is how often a start goes to the least urgent job.
	LeastUrgentEvery int
	// Seed is for the choice between equal replicas.
	Seed uint64
}

const (
	// maxAttempts bounds the attempts of one job.
	maxAttempts = 3
	// hedgeRetry is the pause until a late attempt asks for a token again.
	hedgeRetry = 10 * time.Millisecond
	// slowFactor is how much slower than the best a slow replica is.
	slowFactor = 3
	// slowProbeEvery is the pause between jobs given to a slow replica.
	slowProbeEvery = 200 * time.Millisecond
	// probeFirst and probeMost bound the pause between probes.
	probeFirst = 50 * time.Millisecond
	probeMost  = 2 * time.Second
	// hopeTime is how long jobs wait for a replica that was just lost.
	hopeTime = time.Second
	// minSilence and silenceFactor (times the late quantile) tell from when a
	// connection without an answer is checked.
	minSilence    = 500 * time.Millisecond
	silenceFactor = 4
	// blinkTime is how long an upstream may be lost and still be warm.
	blinkTime = 250 * time.Millisecond
	// goneTime is how long "version gone" outweighs reports.
	goneTime = 5 * time.Second
	// shedPause is used for upstreams that shed load and give no time.
	shedPause = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound what callers are told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// maxSkipped is how many queued jobs are passed over in one search.
	maxSkipped = 8
	// limitFactor (times the best run time) is from when the adaptive limit
	// shrinks by limitShrink.
	limitFactor = 2.5
	limitShrink = 0.9
	// startWeight is the weight of one start in the shares of the urgencies.
	startWeight = 1.0 / 256
	// minShare bounds how much more urgent work stretches a wait.
	minShare = 0.1
	// meanWeight is the weight of one run in the mean of a replica.
	meanWeight = 0.1
)

// DefaultOptions returns the policies that products run with.
func DefaultOptions() Options {
	return Options{
		Hedge: HedgeQueueHead, ExtraAttemptRatio: 0.03, InitialHedgeDelay: 50 * time.Millisecond, ExtraAttemptBurst: 10,
		WarmupWindow: 5 * time.Second, LeastUrgentEvery: 20,
	}
}
