package host

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/allowance"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// tokenCallTimeout bounds a call for tokens. Tokens of later answers would soon expire.
const tokenCallTimeout = 250 * time.Millisecond

// callEnd returns the channel that is closed at the end of a call for tokens of an account;
// nil if the decision is final. The caller holds a.mu.
func (a *allowances) callEnd(name string, d allowance.Decision) chan struct{} {
	if d.Kind != allowance.Ask && d.Kind != allowance.Wait {
		return nil
	}
	ended, ok := a.ended[name]
	if !ok {
		ended = make(chan struct{})
		a.ended[name] = ended
	}
	return ended
}

// waitUntil waits for the end of a call, until the given time if it is set and before the
// deadline. It reports false if the deadline has passed or the context has ended.
func waitUntil(ctx context.Context, ended <-chan struct{}, until, deadline time.Time) bool {
	if until.IsZero() || until.After(deadline) {
		until = deadline
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		return until.Before(deadline)
	case <-ctx.Done():
		return false
	}
}

// startCall asks another host for tokens.
func (a *allowances) startCall(now time.Time, r allowance.Request, d allowance.Decision) {
	started := a.host.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), tokenCallTimeout)
		defer cancel()
		reply, err := a.host.HostTransport.IssueTokens(ctx, d.Issuer.Address, &wire.IssueTokensRequest{Account: r.Account, Version: r.Version, Wanted: int32(d.Wanted)})
		a.endCall(now, r.Account, d.Issuer.Host, reply, err)
	})
	if !started {
		a.endCall(now, r.Account, d.Issuer.Host, nil, context.Canceled)
	}
}

// endCall records the answer of an issuer and wakes the requests that wait for it.
func (a *allowances) endCall(calledAt time.Time, name, issuer string, reply *wire.IssueTokensReply, err error) {
	a.mu.Lock()
	now := time.Now()
	result := "issued"
	switch {
	case err != nil:
		result = "failed"
		a.holder.Fail(now, name, issuer)
	default:
		d := allowance.Reply{
			Issued: max(0, int(reply.GetIssued())), Validity: micros(reply.GetValidMicros()), Wait: micros(reply.GetWaitMicros()), NotIssuer: reply.GetNotIssuer(),
		}
		if d.Issued == 0 {
			result = "none"
		}
		if d.NotIssuer {
			result = "not-issuer"
		}
		a.holder.Receive(now, calledAt, name, issuer, d, reply.GetVersion())
	}
	if ended, ok := a.ended[name]; ok {
		close(ended)
		delete(a.ended, name)
	}
	a.mu.Unlock()
	a.host.Metrics.tokenCalls.WithLabelValues(result).Inc()
	if err != nil && a.host.requestLog.allowLine() {
		a.host.Log.WithError(err).WithFields(logrus.Fields{"account": name, "issuer": issuer, "took-ms": now.Sub(calledAt).Milliseconds()}).Info("host issues no tokens")
	}
}

// micros returns a duration of a message, at most a minute.
func micros(n int64) time.Duration {
	return time.Duration(min(max(0, n), time.Minute.Microseconds())) * time.Microsecond
}

// issueToSelf issues tokens to this host. The caller holds a.mu.
func (a *allowances) issueToSelf(now time.Time, r allowance.Request, wanted int) {
	reply := a.issuer.Issue(now, r.Account, r.Limit, wanted)
	a.holder.Receive(now, now, r.Account, a.host.Self.Host(), reply, r.Version)
}

// issue issues tokens to another host out of the limit in the active configuration, whose
// version it returns.
func (a *allowances) issue(now time.Time, name string, wanted int) (allowance.Reply, uint64) {
	table := a.host.Table()
	if table == nil {
		return allowance.Reply{NotIssuer: true}, 0
	}
	known := table.Accounts().ByName(name)
	if known == nil {
		return allowance.Reply{NotIssuer: true}, table.Version()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.currentView(now)
	return a.issuer.Issue(now, name, known.Limit(), min(max(1, wanted), allowance.MaxWanted)), table.Version()
}

// IssueTokens implements peer.HostHandler.
func (h *Host) IssueTokens(_ context.Context, r *wire.IssueTokensRequest) (*wire.IssueTokensReply, error) {
	reply, version := h.allowances.issue(time.Now(), r.GetAccount(), int(r.GetWanted()))
	return &wire.IssueTokensReply{
		Issued: int32(reply.Issued), ValidMicros: reply.Validity.Microseconds(), WaitMicros: reply.Wait.Microseconds(), NotIssuer: reply.NotIssuer, Version: version,
	}, nil
}
