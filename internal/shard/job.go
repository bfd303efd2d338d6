package shard

import (
	"time"
)

// A job is the state of a submitted Job. It outlives the Job's completion while queue items or
// attempts refer to it.
type job struct {
	Job
	// triedUpstreams holds the upstreams of all attempts so far.
	triedUpstreams map[string]bool
	// runningAttempts counts the attempts that have not ended.
	runningAttempts int
	startedAttempts int
	// possibleRuns counts the attempts that an upstream may have run: all
	// started attempts except those that were certainly not run.
	possibleRuns int
	// crashes counts the upstream crashes during which the request was running,
	// plus one if Job.Suspect is set. The request is not necessarily their cause.
	crashes int
	// hedgeQueued is true once a hedge was queued.
	hedgeQueued bool
	// waiting is true while the job waits for its first attempt.
	waiting bool
	// done is true once the job was completed.
	done bool
	// lastReason is why the last attempt that ended gave no valid answer.
	lastReason Reason
}

// An attempt is the state of one attempt of a job.
type attempt struct {
	id        AttemptID
	job       *job
	upstream  string
	startedAt time.Time
	// hedgeAt is when a hedge is due; zero if no hedge is planned.
	hedgeAt time.Time
	// aborted is true once AbortAttempt was emitted.
	aborted bool
	// suspect is true if the job was running during a crash before this attempt.
	suspect bool
}
