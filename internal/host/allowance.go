package host

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/allowance"
	"github.com/foxtailshelf/foxtailshelf/internal/dialling"
	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

const (
	// admissionTimeout bounds how long a request waits for tokens.
	admissionTimeout = 60 * time.Millisecond
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
	suspects   dialling.Suspects
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
		host: h, issuer: allowance.Issuer{Margin: m}, holder: allowance.Holder{Margin: m}, isOutdated: true, ended: make(map[string]chan struct{}),
	}
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
		if d.Kind == allowance.Ask && d.Issuer.Host == a.host.Self.Host() {
			a.issueToSelf(now, r, d.Wanted)
			a.mu.Unlock()
			continue
		}
		ended := a.callEnd(r.Account, d)
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

func (a *allowances) giveBack(t allowance.Ticket) {
	if t == (allowance.Ticket{}) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.GiveBack(time.Now(), t)
}

// held returns the number of calls for tokens that have not ended, and of accounts whose requests
// wait for one.
func (a *allowances) held() (calls, waited int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Calls(), len(a.ended)
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
		a.isOutdated, a.viewAt = a.suspects.Record(now, members), now
		mayIssue := func(m roster.Member) bool { return a.suspects.MayIssue(now, m) }
		a.view = dialling.NewAllowanceView(a.host.Self.Host(), members, mayIssue)
		a.issuer.SetView(now, a.view)
	}
	return a.view
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
