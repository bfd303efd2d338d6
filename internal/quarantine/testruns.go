package quarantine

import (
	"math/bits"
	"time"
)

const (
	// maxTestRunDuration is how long a test run may take. One that has not ended by then
	// counts as unanswered.
	maxTestRunDuration = 2500 * time.Millisecond
	// freeTestRuns is how many unanswered test runs of a request may follow each other
	// without a pause. The pause after the next one is testRunPause, and it doubles each
	// time until quarantinePeriod.
	freeTestRuns = 2
	testRunPause = 30 * time.Second
)

// TestRuns permit the test runs of suspect requests: one at a time for each request, and
// few without an answer. For each request one host of the fleet decides, so that copies
// of a request that reach several hosts at once crash one upstream and not one for each
// host. They are not safe for concurrent use.
type TestRuns struct {
	runs map[uint64]*testRunRecord
}

// A testRunRecord is what is known of the test runs of one request.
type testRunRecord struct {
	// running is set during a test run.
	running bool
	// until is when the current test run must have ended, or when the next one may begin.
	until time.Time
	// unanswered counts the test runs without an answer.
	unanswered int
}

// A TestResult is how a test run ended.
type TestResult int

// The results of a test run.
const (
	// TestUnanswered test runs have no response of the upstream.
	TestUnanswered TestResult = iota
	// TestAnswered test runs have a response of the upstream.
	TestAnswered
	// TestNotRun test runs reached no upstream that ran the request.
	TestNotRun
)

// String returns the result as it is counted.
func (r TestResult) String() string {
	switch r {
	case TestAnswered:
		return "answered"
	case TestNotRun:
		return "not-run"
	default:
		return "unanswered"
	}
}

// NewTestRuns returns empty TestRuns.
func NewTestRuns() *TestRuns { return &TestRuns{runs: make(map[uint64]*testRunRecord)} }

// Begin permits a test run of a request and returns zero, or returns how long to wait
// until one may be permitted.
func (t *TestRuns) Begin(now time.Time, fingerprint uint64) time.Duration {
	r, ok := t.runs[fingerprint]
	if !ok {
		if len(t.runs) >= maxSuspects {
			t.RemoveExpired(now)
		}
		if len(t.runs) >= maxSuspects {
			return testRunPause
		}
		r = &testRunRecord{}
		t.runs[fingerprint] = r
	}
	if r.running && !r.until.After(now) {
		r.recordUnanswered(r.until)
	}
	if r.until.After(now) {
		return r.until.Sub(now)
	}
	r.running, r.until = true, now.Add(maxTestRunDuration)
	return 0
}

// End records the end of a test run.
func (t *TestRuns) End(now time.Time, fingerprint uint64, result TestResult) {
	r, ok := t.runs[fingerprint]
	if !ok || !r.running {
		return
	}
	switch result {
	case TestAnswered:
		delete(t.runs, fingerprint)
	case TestNotRun:
		r.running, r.until = false, now
	case TestUnanswered:
		r.recordUnanswered(now)
	}
}

// RemoveExpired removes the records of requests without a test run for quarantinePeriod.
func (t *TestRuns) RemoveExpired(now time.Time) {
	for f, r := range t.runs {
		if now.Sub(r.until) > quarantinePeriod {
			delete(t.runs, f)
		}
	}
}

// recordUnanswered ends a test run without an answer.
func (r *testRunRecord) recordUnanswered(at time.Time) {
	r.running, r.until = false, at
	r.unanswered++
	if excess := r.unanswered - freeTestRuns; excess >= 0 {
		r.until = at.Add(min(quarantinePeriod, testRunPause<<min(excess, bits.Len(uint(quarantinePeriod/testRunPause)))))
	}
}
