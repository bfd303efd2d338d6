package host

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
)

// noConfigurationRetryDelay is the Retry-After of the answers before the first
// configuration. A host that has received no configuration from the store or from
// other hosts has to wait for the end of a store outage, which takes seconds.
const noConfigurationRetryDelay = time.Second

// Answer runs a request with the active configuration and returns the answer for the caller.
func (h *Host) Answer(ctx context.Context, request *dispatch.Request) dispatch.Answer {
	return h.AnswerWith(ctx, request, h.Table())
}

// AnswerWith is Answer with the configuration with which the request was decoded; nil if there
// was none.
func (h *Host) AnswerWith(ctx context.Context, request *dispatch.Request, table *routing.Table) dispatch.Answer {
	if table == nil {
		return dispatch.Answer{Status: http.StatusServiceUnavailable, RetryAfter: noConfigurationRetryDelay}
	}
	request.ArrivedAt = time.Now()
	path, _, _ := strings.Cut(request.Target, "?")
	route := table.Match(request.Host, path)
	if route == nil {
		return dispatch.Answer{Status: http.StatusNotFound}
	}
	if request.InFlight != nil {
		request.InFlight.SetRoute(route)
	}
	if estimate, accepted := h.dispatcher.EstimateForStop(request.ArrivedAt, route); !accepted {
		answer := h.RefusalWhileStopping()
		h.requestLog.recordStopRefusal(request.ID, route.Name(), estimate)
		h.Metrics.answers.WithLabelValues(route.Name(), fmt.Sprint(answer.Status), string(answer.Reason)).Inc()
		return answer
	}
	if answer, refused := h.authenticate(request, route, table); refused {
		return answer
	}
	return h.answerAdmitted(ctx, request, route, table.Version())
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
	if answer.NotRun && answer.Reason == dispatch.ReasonStopping {
		answer.RetryAfter = h.stopRetryDelay()
	}
	return answer
}
