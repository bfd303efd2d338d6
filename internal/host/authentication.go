package host

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/account"
	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
	"github.com/foxtailshelf/foxtailshelf/internal/membership"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
)

// keyUndecidedRetryDelay is the Retry-After of answers to unknown keys while the copy of the
// store is old. The host has to wait for the end of an outage or a partition, which takes
// seconds; other hosts may know the key already.
const keyUndecidedRetryDelay = time.Second

// replacedConfigurationAge is the age of a version that a newer one has replaced while the
// request was decoded. It is above all bounds.
const replacedConfigurationAge = time.Hour

// maxProblemLines bounds the log lines about the accounts of one version: a configuration may
// hold tens of thousands of accounts with the same mistake.
const maxProblemLines = 40

// authenticate sets the account of a request on a route of a version of the configuration, and
// clears its credential. It returns the answer and true if the request is refused.
func (h *Host) authenticate(request *dispatch.Request, route *routing.Route, table *routing.Table) (dispatch.Answer, bool) {
	if table.Accounts() == nil {
		return dispatch.Answer{}, false
	}
	startedAt := time.Now()
	verdict, a := table.Accounts().Authenticate(request.Credential, route.IsPublic(), h.configurationAge(table), h.usualCopyAge())
	request.Account, request.Credential = a, account.Credential{}
	answer := dispatch.Answer{NotRun: true}
	switch verdict {
	case account.Serve:
		return dispatch.Answer{}, false
	case account.Undecided:
		answer.Status, answer.Reason, answer.RetryAfter = http.StatusServiceUnavailable, dispatch.ReasonKeyUndecided, keyUndecidedRetryDelay
	default:
		answer.Status, answer.Reason = http.StatusUnauthorized, dispatch.ReasonUnknownKey
	}
	h.refusalLog.record(dispatch.Summary{
		RequestID: request.ID, Route: route.Name(), Version: table.Version(), Status: answer.Status, Reason: answer.Reason, Elapsed: time.Since(startedAt),
	})
	return answer, true
}

// configurationAge returns how long ago a version of the configuration was last known to be the
// newest one.
func (h *Host) configurationAge(table *routing.Table) time.Duration {
	age := h.follower.AppliedAge()
	if h.Table() != table {
		return replacedConfigurationAge
	}
	return age
}

// usualCopyAge returns the age that copies of the store reach while it works.
func (h *Host) usualCopyAge() time.Duration {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return membership.UsualCopyAge(h.view.MemberCount())
}

// logAccountProblems logs what could not be used of the accounts of a version.
func (h *Host) logAccountProblems(t *routing.Table) {
	problems := t.Accounts().Problems()
	for _, p := range problems[:min(len(problems), maxProblemLines)] {
		h.Log.WithFields(logrus.Fields{
			"version": t.Version(), "problem": p.Kind().String(), "account": p.Account(), "owner": p.Owner(), "details": p.String(),
		}).Warn("mistake in the configuration of accounts")
	}
	if len(problems) > maxProblemLines {
		h.Log.WithFields(logrus.Fields{"version": t.Version(), "problems": len(problems)}).Warn("more mistakes in the configuration of accounts than are logged")
	}
}
