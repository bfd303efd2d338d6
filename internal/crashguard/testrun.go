package crashguard

// This file decides with other hosts which host runs a suspect request as a test. One host, the
// examiner of the request, permits its test runs, so that hosts do not test it at the same time.

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// BeginTestRun implements dispatch.CrashGuard. It asks the examiners in turn; if none answers, this
// host decides itself.
func (g *Guard) BeginTestRun(ctx context.Context, fingerprint uint64) (quarantine.Verdict, func(quarantine.TestResult)) {
	request := &wire.TestRunRequest{Notice: g.Notice(fingerprint), Event: wire.TestRunEvent_TEST_RUN_EVENT_BEGIN}
	for _, m := range g.examiners(g.examinerKey(fingerprint)) {
		if m.Host() == g.Self.Host() {
			break
		}
		// An answer that comes after the caller has left may hold a permit that must be ended.
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), testRunCallTimeout)
		reply, err := g.Peers.TestRun(callCtx, m.GateAddress(), request)
		cancel()
		if err != nil {
			g.Log.WithError(err).WithField("examiner", m.Host()).Info("test run not permitted: no answer")
			continue
		}
		g.ApplyNotice(m.Host(), reply.GetNotice())
		return g.beginTestRun(m, fingerprint, g.verdictOf(fingerprint, reply))
	}
	return g.beginTestRun(g.Self, fingerprint, g.permit(fingerprint))
}

// beginTestRun returns the result of BeginTestRun for the verdict of an examiner.
func (g *Guard) beginTestRun(examiner roster.Member, fingerprint uint64, v quarantine.Verdict) (quarantine.Verdict, func(quarantine.TestResult)) {
	if v.Decision == quarantine.Suspect {
		g.permits.Add(1)
	}
	return v, func(result quarantine.TestResult) { g.endTestRun(examiner, fingerprint, result) }
}

// endTestRun clears the evidence after an answer, and reports the end of a test run to
// the examiner that permitted it.
func (g *Guard) endTestRun(examiner roster.Member, fingerprint uint64, result quarantine.TestResult) {
	g.permits.Add(-1)
	g.Metrics.testRuns.WithLabelValues(result.String()).Inc()
	g.Log.WithFields(map[string]any{"fingerprint": quarantine.FormatFingerprint(fingerprint), "result": result.String()}).Info("test run of suspect request ended")
	event := wire.TestRunEvent_TEST_RUN_EVENT_UNANSWERED
	switch result {
	case quarantine.TestAnswered:
		event = wire.TestRunEvent_TEST_RUN_EVENT_ANSWERED
	case quarantine.TestNotRun:
		event = wire.TestRunEvent_TEST_RUN_EVENT_NOT_RUN
	}
	g.applyTestResult(fingerprint, result)
	if examiner.Host() == g.Self.Host() {
		return
	}
	request := &wire.TestRunRequest{Notice: g.Notice(fingerprint), Event: event}
	g.Tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testRunCallTimeout)
		defer cancel()
		if _, err := g.Peers.TestRun(ctx, examiner.GateAddress(), request); err != nil {
			g.Log.WithError(err).WithField("examiner", examiner.Host()).Info("end of test run not reported")
		}
	})
}

// examinerKey returns what determines the examiner of a request. While an alert holds, one host
// examines all requests of its services, so that it can bound all their test runs.
func (g *Guard) examinerKey(fingerprint uint64) uint64 {
	if g.Alerts.HoldsFor(g.Check(fingerprint).Service) {
		return alertExaminerKey
	}
	return fingerprint
}

// examiners returns the hosts that may permit test runs of the requests with a key, the first
// choice first.
func (g *Guard) examiners(key uint64) []roster.Member {
	var alive []roster.Member
	for _, m := range g.Members() {
		if m.State() == roster.Alive {
			alive = append(alive, m)
		}
	}
	weight := func(m roster.Member) uint64 {
		return xxhash.Sum64String(fmt.Sprint(key, " ", m.Host()))
	}
	slices.SortFunc(alive, func(a, b roster.Member) int { return cmp.Compare(weight(b), weight(a)) })
	return alive[:min(maxExaminers, len(alive))]
}

// AnswerTestRun answers the call of another host about a test run.
func (g *Guard) AnswerTestRun(request *wire.TestRunRequest) *wire.TestRunReply {
	fingerprint := request.GetNotice().GetFingerprint()
	g.ApplyNotice(testRunSource, request.GetNotice())
	reply := &wire.TestRunReply{}
	switch request.GetEvent() {
	case wire.TestRunEvent_TEST_RUN_EVENT_BEGIN:
		v := g.permit(fingerprint)
		reply.WaitMicros = v.Wait.Microseconds()
		switch v.Decision {
		case quarantine.Allowed:
			reply.Decision = wire.TestRunDecision_TEST_RUN_DECISION_CLEARED
		case quarantine.Suspect:
			reply.Decision = wire.TestRunDecision_TEST_RUN_DECISION_PERMITTED
		case quarantine.AwaitingTest:
			reply.Decision = wire.TestRunDecision_TEST_RUN_DECISION_WAIT
		case quarantine.Quarantined:
			reply.Decision = wire.TestRunDecision_TEST_RUN_DECISION_QUARANTINED
		}
	case wire.TestRunEvent_TEST_RUN_EVENT_ANSWERED:
		g.applyTestResult(fingerprint, quarantine.TestAnswered)
	case wire.TestRunEvent_TEST_RUN_EVENT_NOT_RUN:
		g.applyTestResult(fingerprint, quarantine.TestNotRun)
	default:
		g.applyTestResult(fingerprint, quarantine.TestUnanswered)
	}
	reply.Notice = g.Notice(fingerprint)
	return reply
}

func (g *Guard) applyTestResult(fingerprint uint64, result quarantine.TestResult) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.testRuns.End(now, fingerprint, result)
	if result == quarantine.TestAnswered {
		g.records.Clear(now, fingerprint)
	}
}

// permit returns the verdict on a test run as the examiner. It permits the test run if the
// decision is Suspect.
func (g *Guard) permit(fingerprint uint64) quarantine.Verdict {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.records.Check(now, fingerprint)
	if v.Decision != quarantine.Suspect {
		return v
	}
	wait := g.testRuns.Begin(now, fingerprint)
	if wait == 0 && g.Alerts.HoldsFor(v.Service) {
		if wait = g.Alerts.permitTestRun(now); wait > 0 {
			g.testRuns.End(now, fingerprint, quarantine.TestNotRun)
		}
	}
	if wait > 0 {
		v.Decision, v.Wait = quarantine.AwaitingTest, wait
	}
	return v
}

// verdictOf returns the examiner's verdict on a test run.
func (g *Guard) verdictOf(fingerprint uint64, reply *wire.TestRunReply) quarantine.Verdict {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.records.Check(now, fingerprint)
	v.Wait = max(0, time.Duration(reply.GetWaitMicros())*time.Microsecond)
	switch reply.GetDecision() {
	case wire.TestRunDecision_TEST_RUN_DECISION_CLEARED:
		g.records.Clear(now, fingerprint)
		return quarantine.Verdict{}
	case wire.TestRunDecision_TEST_RUN_DECISION_PERMITTED:
		v.Decision = quarantine.Suspect
	case wire.TestRunDecision_TEST_RUN_DECISION_QUARANTINED:
		v.Decision = quarantine.Quarantined
	default:
		v.Decision = quarantine.AwaitingTest
	}
	return v
}
