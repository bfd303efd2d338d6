package relay

import (
	"errors"
	"net/http"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// DecodeAttempt returns the attempt that another host asks for, without an
// upstream. Its deadline is counted from now.
func DecodeAttempt(now time.Time, r *wire.RelayRequest) *upstream.Attempt {
	return &upstream.Attempt{
		Method: r.GetMethod(), Target: r.GetTarget(), Host: r.GetHost(), Header: r.GetHeader(), Body: r.GetBody(),
		RequestID: r.GetRequestId(), Deadline: now.Add(time.Duration(r.GetLeftMicros()) * time.Microsecond), RequireNewConnection: r.GetFresh(),
	}
}

// DecodeOutcome returns how an attempt ended at another host.
func DecodeOutcome(r *wire.RelayReply) upstream.Outcome {
	ending := upstream.Outcome{ForwardedTo: r.GetUpstream()}
	if r.GetFailure() != "" {
		ending.Err = errors.New(r.GetFailure())
	}
	switch r.GetResult() {
	case wire.RelayResult_RELAY_RESULT_ANSWERED:
		ending.Result = upstream.Answered
		ending.Response = upstream.Response{
			Status: int(r.GetStatus()), Header: decodeHeader(r.GetHeader()), Body: r.GetBody(), Signature: r.GetSignature(),
		}
	case wire.RelayResult_RELAY_RESULT_NOT_RUN:
		ending.Result = upstream.Refused
		ending.Response.Status = int(r.GetStatus())
		ending.NotForwarded = r.GetUpstream() == ""
	default:
		ending.Result = upstream.Broken
	}
	return ending
}

// EncodeAttempt returns the message that asks another host for an attempt.
func EncodeAttempt(a *upstream.Attempt, left time.Duration) *wire.RelayRequest {
	return &wire.RelayRequest{
		Service: a.Relay.Service, Route: a.Relay.Route, TargetMicros: a.Relay.LatencyTarget.Microseconds(), Gathers: a.Relay.Gathers,
		Fingerprint: a.Relay.Fingerprint, Tried: a.Relay.TriedUpstreams, RequestId: a.RequestID, Method: a.Method, Target: a.Target,
		Host: a.Host, Header: a.Header, Body: a.Body, LeftMicros: left.Microseconds(), Fresh: a.RequireNewConnection,
		Last: a.Relay.IsLastAttempt,
	}
}

// EncodeOutcome returns the message that tells how an attempt ended at an upstream.
func EncodeOutcome(upstreamID string, e upstream.Outcome) *wire.RelayReply {
	reply := &wire.RelayReply{Upstream: upstreamID, Status: int32(e.Response.Status)}
	if e.Err != nil {
		reply.Failure = e.Err.Error()
	}
	switch e.Result {
	case upstream.Answered:
		reply.Result = wire.RelayResult_RELAY_RESULT_ANSWERED
		reply.Header, reply.Body, reply.Signature = encodeHeader(e.Response.Header), e.Response.Body, e.Response.Signature
	case upstream.Refused, upstream.Misdirected:
		reply.Result = wire.RelayResult_RELAY_RESULT_NOT_RUN
	case upstream.Unreachable:
		// No upstream has it: the other host may ask again as if for the first time.
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
