package crashguard

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// newTestGuard returns the guard of a host that knows no others.
func newTestGuard(tasks *work.Group) *Guard {
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := NewGuard(time.Now())
	g.Self, g.Tasks, g.Log, g.Metrics = roster.NewMember("self", "z", "self", "", 1, roster.Alive), tasks, log, NewMetrics(prometheus.NewRegistry())
	g.Members = func() []roster.Member { return []roster.Member{g.Self} }
	g.SendUpdates = func(context.Context) {}
	g.HasResponded = func(uint64, time.Time) bool { return false }
	g.OnEnds = func([]quarantine.Crash) {}
	g.AllowLine = func() bool { return true }
	g.LinkFields = func(time.Time) logrus.Fields { return nil }
	a := NewAlerts()
	a.Self, a.Members, a.Tasks, a.Log, a.Metrics, a.AllowLine = g.Self, g.Members, g.Tasks, g.Log, g.Metrics, g.AllowLine
	g.Alerts = a
	return g
}

// TestNoticesAreBounded sends a host evidence against many requests, with more crashes than
// fit, future and expired ages. Its own messages must stay small, and it must not
// quarantine a request for evidence of that kind.
func TestNoticesAreBounded(t *testing.T) {
	const maxMessageNotices = maxRecentNotices + maxOtherNotices
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tasks := &work.Group{}
		g := newTestGuard(tasks)
		for fingerprint := range uint64(20_000) {
			n := &wire.Notice{Fingerprint: fingerprint}
			for i := range 50 {
				n.Crashes = append(n.Crashes, &wire.Crash{Upstream: uint64(i), Service: 1, AgeMicros: -1, TestRun: true}, &wire.Crash{Upstream: uint64(100 + i), AgeMicros: 1 << 60, TestRun: true})
			}
			g.ApplyNotices("peer", []*wire.Notice{n, {Fingerprint: fingerprint, Crashes: []*wire.Crash{{Upstream: fingerprint, AgeMicros: 5}}}})
		}
		c.Check(g.Check(5).TestRuns, qt.Equals, 0)
		notices := g.Notices(false)
		c.Check(len(notices) > 0 && len(notices) <= maxMessageNotices, qt.IsTrue)
		c.Check(len(g.Notices(true)) <= maxNotices, qt.IsTrue)
		for _, n := range notices {
			c.Check(len(n.GetCrashes()) <= maxCrashesPerNotice, qt.IsTrue)
		}
		tasks.Wait()
	})
}

// suspect adds evidence that makes requests suspect, and an alert for their service.
func suspect(g *Guard, fingerprints ...uint64) {
	for _, f := range fingerprints {
		g.ApplyNotice("peer", &wire.Notice{Fingerprint: f, Crashes: []*wire.Crash{{Upstream: 10 * f, Service: dispatch.ServiceKey("s")}, {Upstream: 10*f + 1, Service: dispatch.ServiceKey("s")}}})
	}
}

// TestTestRunThatIsNotPermittedUsesNoPermitOfItsAlert guards against requests whose test runs pause and
// that take the permit of each interval from the other requests of services with an alert.
func TestTestRunThatIsNotPermittedUsesNoPermitOfItsAlert(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tasks := &work.Group{}
		g := newTestGuard(tasks)
		suspect(g, 1, 2)
		for range 2 {
			g.Alerts.Raise(1, []string{"s"})
			c.Assert(g.permit(1).Decision, qt.Equals, quarantine.Suspect)
			g.applyTestResult(1, quarantine.TestUnanswered)
			time.Sleep(6 * time.Second)
		}
		g.Alerts.Raise(1, []string{"s"})
		c.Check(g.permit(1).Decision, qt.Equals, quarantine.AwaitingTest)
		c.Check(g.permit(2).Decision, qt.Equals, quarantine.Suspect)
		c.Check(g.permit(2).Decision, qt.Equals, quarantine.AwaitingTest)
		g.applyTestResult(2, quarantine.TestNotRun)
		c.Check(g.permit(2).Wait > 4*time.Second, qt.IsTrue)
		tasks.Wait()
	})
}

// lostCallerPeers are an examiner that permits test runs after the caller of the request has left.
type lostCallerPeers struct{ permits int }

func (p *lostCallerPeers) TestRun(ctx context.Context, _ string, r *wire.TestRunRequest) (*wire.TestRunReply, error) {
	if r.GetEvent() != wire.TestRunEvent_TEST_RUN_EVENT_BEGIN {
		p.permits--
		return &wire.TestRunReply{}, nil
	}
	p.permits++
	select {
	case <-time.After(50 * time.Millisecond):
		return &wire.TestRunReply{Decision: wire.TestRunDecision_TEST_RUN_DECISION_PERMITTED}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// TestPermitIsGivenBackIfTheCallerLeaves guards against permits for test runs that their examiner takes
// for unanswered test runs, because the caller left during the call for the permit.
func TestPermitIsGivenBackIfTheCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tasks := &work.Group{}
		g := newTestGuard(tasks)
		peers := &lostCallerPeers{}
		g.Peers = peers
		examiner := roster.NewMember("examiner", "z", "examiner", "", 1, roster.Alive)
		g.Members = func() []roster.Member { return []roster.Member{examiner} }
		suspect(g, 1)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		v, end := g.BeginTestRun(ctx, 1)
		c.Check(v.Decision, qt.Equals, quarantine.Suspect)
		end(quarantine.TestNotRun)
		tasks.Wait()
		c.Check(peers.permits, qt.Equals, 0)
		c.Check(g.Permits(), qt.Equals, 0)
	})
}
