package host

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/allowance"
	"github.com/foxtailshelf/foxtailshelf/internal/dialling"
	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

const (
	// admissionTimeout bounds how long a request waits for tokens.
	admissionTimeout = 60 * time.Millisecond
	// tokenCallTimeout bounds a call for tokens. Tokens of later answers would soon expire.
	tokenCallTimeout = 250 * time.Millisecond
	// minAllowanceViewAge bounds how often the members are evaluated, which takes milliseconds
	// in fleets of thousands.
	minAllowanceViewAge = 200 * time.Millisecond
)

// allowances admits the requests of accounts and issues tokens to other hosts.
type allowances struct {
	host *Host

	mu     sync.Mutex
	issuer allowance.Issuer
	holder allowance.Holder
	view   *allowance.View
	viewAt time.Time
	// isOutdated is set after a change of the members.
	isOutdated bool
	// suspectedAt holds when hosts that are suspected now were first seen so.
	suspectedAt map[string]time.Time
	// ended holds, by account, a channel that is closed at the end of the next call for its
	// tokens.
	ended map[string]chan struct{}
}

func newAllowances(h *Host) *allowances {
	s := h.Settings
	m := allowance.Margin{
		Window: time.Duration(s.AccountWindowSeconds * float64(time.Second)), Tolerance: s.AccountTolerance, Slack: s.AccountSlack,
	}
	return &allowances{
		host: h, issuer: allowance.Issuer{Margin: m}, holder: allowance.Holder{Margin: m}, isOutdated: true, ended: make(map[string]chan struct{}), suspectedAt: make(map[string]time.Time),
	}
}

// IssueTokens implements peer.HostHandler.
func (h *Host) IssueTokens(_ context.Context, r *wire.IssueTokensRequest) (*wire.IssueTokensReply, error) {
	reply, version := h.allowances.issue(time.Now(), r.GetAccount(), int(r.GetWanted()))
	return &wire.IssueTokensReply{
		Issued: int32(reply.Issued), ValidMicros: reply.Validity.Microseconds(), WaitMicros: reply.Wait.Microseconds(), NotIssuer: reply.NotIssuer, Version: version,
	}, nil
}

// answerAdmitted dispatches a request if the limit of its account admits it, and refuses it
// otherwise.
func (h *Host) answerAdmitted(ctx context.Context, request *dispatch.Request, route *routing.Route, version uint64) dispatch.Answer {
	ticket, refusal := h.allowances.Admit(ctx, request, version, h.dispatcher.IsOverdue(request, route))
	if refusal != nil {
		h.Metrics.answers.WithLabelValues(route.Name(), fmt.Sprint(refusal.Status), string(refusal.Reason)).Inc()
		return *refusal
	}
	answer := h.dispatcher.Run(ctx, request, route, version)
	if answer.NotRun {
		h.allowances.giveBack(ticket)
	}
	return answer
}

// Admit decides whether a request may run under the limit of its account. It returns what the
// request has used, or the answer that refuses it.
func (a *allowances) Admit(ctx context.Context, request *dispatch.Request, version uint64, isOverdue bool) (allowance.Ticket, *dispatch.Answer) {
	if request.Account == nil || request.Account.Limit().IsUnlimited() {
		return allowance.Ticket{}, nil
	}
	r := allowance.Request{Account: request.Account.Name(), Limit: request.Account.Limit(), Version: version, IsOverdue: isOverdue}
	d := a.decide(ctx, r)
	switch {
	case d.Kind == allowance.Refused:
		a.host.Metrics.accountRequests.WithLabelValues("refused").Inc()
		a.logRefusal(request, r, d)
		return allowance.Ticket{}, &dispatch.Answer{Status: http.StatusTooManyRequests, Reason: dispatch.ReasonAccountLimit, RetryAfter: d.Wait, NotRun: true}
	case d.Ticket.Issuer == "":
		a.host.Metrics.accountRequests.WithLabelValues("own-allowance").Inc()
	default:
		a.host.Metrics.accountRequests.WithLabelValues("admitted").Inc()
	}
	return d.Ticket, nil
}

// decide returns the final decision on a request. It waits for calls to issuers until
// admissionTimeout.
func (a *allowances) decide(ctx context.Context, r allowance.Request) allowance.Decision {
	deadline := time.Now().Add(admissionTimeout)
	for arrived := true; ; arrived = false {
		now := time.Now()
		a.mu.Lock()
		view := a.currentView(now)
		d := a.holder.Take(now, r, view, arrived)
		ended := a.callEnd(r.Account, d)
		if d.Kind == allowance.Ask && d.Issuer.Host == a.host.Self.Host() {
			a.issueToSelf(now, r, d.Wanted)
			a.mu.Unlock()
			continue
		}
		a.mu.Unlock()
		switch d.Kind {
		case allowance.Admitted, allowance.Refused:
			return d
		case allowance.Ask:
			a.startCall(now, r, d)
		case allowance.Wait:
		}
		if !waitUntil(ctx, ended, d.Until, deadline) {
			return a.conclude(r)
		}
	}
}

// conclude decides on a request that has waited long enough.
func (a *allowances) conclude(r allowance.Request) allowance.Decision {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Conclude(now, r, a.currentView(now))
}

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

func (a *allowances) giveBack(t allowance.Ticket) {
	if t == (allowance.Ticket{}) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.GiveBack(time.Now(), t)
}

func (a *allowances) maintain(now time.Time) {
	if t := a.host.Table(); t == nil || t.Accounts().Len() == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.currentView(now)
	a.issuer.Maintain(now)
	a.holder.Maintain(now)
}

// recordContact records whether a call to another host was answered.
func (a *allowances) recordContact(address string, answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.issuer.RecordContact(time.Now(), address, answered)
}

// invalidateView has the members evaluated again before the next decision.
func (a *allowances) invalidateView() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isOutdated = true
}

// currentView returns what the host knows of the others. The caller holds a.mu.
func (a *allowances) currentView(now time.Time) *allowance.View {
	if a.view == nil || (a.isOutdated && now.Sub(a.viewAt) >= minAllowanceViewAge) {
		members := a.host.fleet.Members()
		// Time alone changes the view while hosts are suspected.
		a.isOutdated, a.viewAt = a.recordSuspects(now, members), now
		mayIssue := func(m roster.Member) bool {
			return m.State() == roster.Alive || (m.State() == roster.Suspect && now.Sub(a.suspectedAt[m.Host()]) < allowance.TakeoverDelay)
		}
		a.view = newAllowanceView(a.host.Self.Host(), members, mayIssue)
		a.issuer.SetView(now, a.view)
	}
	return a.view
}

// recordSuspects records which hosts are suspected, and reports whether one became so less than
// TakeoverDelay ago.
func (a *allowances) recordSuspects(now time.Time, members []roster.Member) bool {
	isRecent := false
	for _, m := range members {
		at, ok := a.suspectedAt[m.Host()]
		switch {
		case m.State() != roster.Suspect:
			delete(a.suspectedAt, m.Host())
		case !ok:
			a.suspectedAt[m.Host()] = now
			isRecent = true
		case now.Sub(at) < allowance.TakeoverDelay:
			isRecent = true
		}
	}
	return isRecent
}

// logRefusal logs a request that was refused because of the limit of its account.
func (a *allowances) logRefusal(request *dispatch.Request, r allowance.Request, d allowance.Decision) {
	if !a.host.requestLog.allowLine() {
		a.host.Metrics.unloggedLines.Inc()
		return
	}
	a.mu.Lock()
	issuers := a.holder.Describe(time.Now(), r.Account)
	a.mu.Unlock()
	a.host.Log.WithFields(logrus.Fields{
		"issuers": issuers, "request": request.ID, "account": r.Account, "version": r.Version, "limit": r.Limit.RatePerSecond, "wait-ms": d.Wait.Milliseconds(),
		"issuers-empty": d.Empty, "issuers-unreachable": d.Unreachable, "store-age-ms": a.host.follower.Age().Milliseconds(),
	}).Info("request refused: account is at its limit")
}

// newAllowanceView returns what a host knows of the others. Other hosts that leave issue no
// tokens and do not count. Listed hosts count as running: after a start of all hosts, they agree on
// the issuers as soon as they know the list, and a host that does not reach the others finds
// out by its own probes. mayIssue reports whether a member that was heard from may issue tokens.
func newAllowanceView(host string, members []roster.Member, mayIssue func(roster.Member) bool) *allowance.View {
	var self allowance.Member
	var candidates []allowance.Member
	known := 0
	weights := dialling.LoadWeights(members)
	total, squares, running, before, own := 0.0, 0.0, 0.0, 0.0, 0.0
	for i, m := range members {
		c := allowance.Member{Host: m.Host(), Address: m.GateAddress(), DataCenter: m.DataCenter()}
		isSelf := m.Host() == host
		if m.State() == roster.Leaving && !isSelf {
			continue
		}
		known++
		total += weights[i]
		squares += weights[i] * weights[i]
		switch {
		case isSelf:
			self, own = c, weights[i]
		case m.Host() < host:
			before += weights[i]
		}
		if m.State() == roster.Alive || m.State() == roster.Listed || isSelf {
			running += weights[i]
		}
		// The data centre of hosts from the settings is unknown until they are heard from.
		if mayIssue(m) || (m.State() == roster.Listed && m.DataCenter() != "") {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) == 0 {
		candidates = append(candidates, self)
	}
	if total == 0 {
		return allowance.NewView(self, candidates, known, 1, allowance.Share{Hosts: 1})
	}
	shared := max(total, dialling.MinFleetSize*own)
	share := allowance.Share{From: before / shared, To: (before + own) / shared, Hosts: total * total / squares}
	return allowance.NewView(self, candidates, known, running/total, share)
}
