package shard

import "time"

// HedgeMode selects when hedges are started.
type HedgeMode int

// The hedge modes.
const (
	// HedgeQueueHead queues hedges before all jobs that wait for their first
	// attempt.
	HedgeQueueHead HedgeMode = iota
	// HedgeFreeSlot gives up a hedge if no replica has a free slot for it when it
	// is due.
	HedgeFreeSlot
	// HedgeNever starts no hedges.
	HedgeNever
)

// Options holds the policies of a Group.
type Options struct {
	Hedge HedgeMode
	// ExtraAttemptRatio bounds the extra attempts as a ratio of the started
	// jobs, from 0 to 1. Extra attempts are hedges, and retries of attempts that
	// may have run.
	ExtraAttemptRatio float64
	// InitialHedgeDelay is the hedge delay until enough attempts were measured.
	InitialHedgeDelay time.Duration
	// ExtraAttemptBurst is how many extra attempts may be started at once, beyond
	// ExtraAttemptRatio.
	ExtraAttemptBurst float64
	// UseAdaptiveLimit derives the number of usable slots from run times. It is
	// for several owners that share upstreams without coordination, and is the
	// baseline that owned groups are measured against.
	UseAdaptiveLimit bool
	// AdmissionDisabled disables admission control: jobs that are likely to miss
	// their deadline are accepted, and stay queued until then.
	AdmissionDisabled bool
	// WarmupWindow is how long a cold upstream takes to get all its slots.
	WarmupWindow time.Duration
	// LeastUrgentEvery makes every n-th start take the least urgent job; zero
	// disables this.
	LeastUrgentEvery int
	// Seed is for the random choice between equal replicas.
	Seed uint64
}

const (
	// maxAttempts bounds the attempts of one job.
	maxAttempts = 3
	// hedgeRetryDelay is the delay until a hedge is tried again after the budget of
	// extra attempts had no token for it.
	hedgeRetryDelay = 10 * time.Millisecond
	// slowReplicaFactor (times the lowest mean run time of a job's replicas) is
	// the mean run time above which a replica is slow.
	slowReplicaFactor = 3
	// slowReplicaInterval is the minimum interval between jobs for a slow replica.
	slowReplicaInterval = 200 * time.Millisecond
	// The delay between probes of a lost replica is twice minProbeDelay at first. It
	// doubles after each probe without response, up to maxProbeDelay.
	minProbeDelay = 50 * time.Millisecond
	maxProbeDelay = 2 * time.Second
	// lostGracePeriod is how long after the loss of a replica jobs are still
	// admitted and queued for it.
	lostGracePeriod = time.Second
	// minSilenceTimeout and silenceFactor (times the high latency quantile) set
	// how long an attempt may run without a response before its connection is
	// checked.
	minSilenceTimeout = 500 * time.Millisecond
	silenceFactor     = 4
	// maxWarmOutage is the longest outage after which an upstream still counts
	// as warm.
	maxWarmOutage = 250 * time.Millisecond
	// versionGonePeriod is how long a "version gone" refusal takes precedence
	// over reports of the version.
	versionGonePeriod = 5 * time.Second
	// defaultShedPause is the pause after an upstream sheds load without giving
	// a retry-after time.
	defaultShedPause = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry-after times that are derived
	// from the estimated wait. maxRetryAfter also bounds the pause after an
	// upstream sheds load.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// maxSkipped is how many queued jobs are skipped in one pass over the
	// queue.
	maxSkipped = 8
	// A run that takes longer than slowRunFactor times the lowest mean run time
	// that its replica ever had multiplies the replica's adaptive limit by
	// limitDecreaseFactor.
	slowRunFactor       = 2.5
	limitDecreaseFactor = 0.9
	// startWeight is the weight of one start in the ratios of the urgencies.
	startWeight = 1.0 / 256
	// minStartRatio is the minimum ratio of the started jobs that an urgency is
	// assumed to have. It bounds how much more urgent jobs lengthen the estimated
	// wait: at most tenfold.
	minStartRatio = 0.1
	// meanWeight is the weight of one run in a replica's mean run time.
	meanWeight = 0.1
)

// DefaultOptions returns the default policies. A gate replaces ExtraAttemptRatio
// and WarmupWindow by its settings.
func DefaultOptions() Options {
	return Options{
		Hedge: HedgeQueueHead, ExtraAttemptRatio: 0.03, InitialHedgeDelay: 50 * time.Millisecond, ExtraAttemptBurst: 10,
		WarmupWindow: 5 * time.Second, LeastUrgentEvery: 20,
	}
}
