package relay

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// maxRelayedRest bounds the rest of an upstream that another host reports.
const maxRelayedRest = 10 * time.Minute

// DecodeAttempt returns the attempt that another host requests. UpstreamID, Address
// and Relay are not set. The deadline is computed from now and the remaining time in
// the message.
func DecodeAttempt(now time.Time, r *wire.RelayRequest) *upstream.Attempt {
	return &upstream.Attempt{
		Method: r.GetMethod(), Target: r.GetTarget(), Host: r.GetHost(), Header: r.GetHeader(), Body: r.GetBody(),
		RequestID: r.GetRequestId(), Account: r.GetAccount(), Deadline: now.Add(time.Duration(r.GetLeftMicros()) * time.Microsecond), RequireNewConnection: r.GetFresh(),
	}
}

// DecodeOutcome returns the outcome of a forwarded attempt, as the dialling host
// reports it.
func DecodeOutcome(r *wire.RelayReply) upstream.Outcome {
	outcome := upstream.Outcome{ForwardedTo: r.GetUpstream(), UpstreamEnded: r.GetEnded(), Leaving: r.GetLeaving(), LinkLost: r.GetLinkLost()}
	if rest := time.Duration(r.GetRestMicros()) * time.Microsecond; rest > 0 {
		outcome.RestUntil = time.Now().Add(min(rest, maxRelayedRest))
	}
	if r.GetFailure() != "" {
		outcome.Err = errors.New(r.GetFailure())
	}
	switch r.GetResult() {
	case wire.RelayResult_RELAY_RESULT_ANSWERED:
		if !upstream.IsFinal(int(r.GetStatus())) {
			// The other host runs a build that takes any status for that of an answer.
			outcome.Result, outcome.Err = upstream.Broken, fmt.Errorf("response has status %03d, which is none of an answer", r.GetStatus())
			return outcome
		}
		outcome.Result = upstream.Answered
		outcome.Response = upstream.Response{
			Status: int(r.GetStatus()), Header: decodeHeader(r.GetHeader()), Body: r.GetBody(), Signature: r.GetSignature(),
		}
	case wire.RelayResult_RELAY_RESULT_NOT_RUN:
		outcome.Result = upstream.Refused
		outcome.Response.Status = int(r.GetStatus())
		outcome.NotForwarded = r.GetUpstream() == ""
		outcome.NoRoute = r.GetNoRoute()
	default:
		outcome.Result = upstream.Broken
	}
	return outcome
}

// EncodeAttempt returns the message that asks a dialling host to run an attempt, whose
// Relay must be set.
func EncodeAttempt(a *upstream.Attempt, remaining time.Duration) *wire.RelayRequest {
	return &wire.RelayRequest{
		Service: a.Relay.Service, Route: a.Relay.Route, TargetMicros: a.Relay.LatencyTarget.Microseconds(), Gathers: a.Relay.Gathers,
		Fingerprint: a.Relay.Fingerprint, Tried: a.Relay.TriedUpstreams, RequestId: a.RequestID, Method: a.Method, Target: a.Target,
		Host: a.Host, Header: a.Header, Body: a.Body, LeftMicros: remaining.Microseconds(), Fresh: a.RequireNewConnection,
		Last: a.Relay.IsLastAttempt, TestRun: a.Relay.IsTestRun, Account: a.Account,
	}
}

// EncodeOutcome returns the message that reports the outcome of a forwarded attempt to
// the host that requested it.
func EncodeOutcome(upstreamID string, o upstream.Outcome) *wire.RelayReply {
	reply := &wire.RelayReply{Upstream: upstreamID, Status: int32(o.Response.Status), Ended: o.UpstreamEnded, Leaving: o.Leaving, NoRoute: o.NoRoute, LinkLost: o.LinkLost}
	if !o.RestUntil.IsZero() {
		reply.RestMicros = max(0, time.Until(o.RestUntil)).Microseconds()
	}
	if o.Err != nil {
		reply.Failure = o.Err.Error()
	}
	switch o.Result {
	case upstream.Answered:
		reply.Result = wire.RelayResult_RELAY_RESULT_ANSWERED
		reply.Header, reply.Body, reply.Signature = encodeHeader(o.Response.Header), o.Response.Body, o.Response.Signature
	case upstream.Refused, upstream.Misdirected:
		reply.Result = wire.RelayResult_RELAY_RESULT_NOT_RUN
	case upstream.Unreachable:
		// The attempt reached no upstream. Without an upstream in the reply, the
		// requesting host does not count the attempt as one that may have arrived.
		reply.Result, reply.Upstream = wire.RelayResult_RELAY_RESULT_NOT_RUN, ""
	default:
		reply.Result = wire.RelayResult_RELAY_RESULT_BROKEN
	}
	return reply
}

func decodeHeader(fields []*wire.HeaderField) http.Header {
	header := make(http.Header, len(fields))
	for _, f := range fields {
		header[f.GetName()] = f.GetValues()
	}
	return header
}

func encodeHeader(header http.Header) []*wire.HeaderField {
	fields := make([]*wire.HeaderField, 0, len(header))
	for name, values := range header {
		fields = append(fields, &wire.HeaderField{Name: name, Values: values})
	}
	return fields
}
