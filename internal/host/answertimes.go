package host

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/wire"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// maxAnswerTimeSources is how many other hosts a stopping host asks how long requests take.
	maxAnswerTimeSources = 8
	// answerTimesTimeout limits each of these calls. Until they return, requests of routes that this
	// host does not know are refused.
	answerTimesTimeout = 300 * time.Millisecond
	// maxAnswerTimes bounds the routes in a message.
	maxAnswerTimes = 512
)

// AnswerTimes implements peer.HostHandler: it tells how long requests that must not run twice have taken
// here.
func (h *Host) AnswerTimes(context.Context, *wire.AnswerTimesRequest) (*wire.AnswerTimesReply, error) {
	reply := &wire.AnswerTimesReply{}
	table := h.Table()
	if table == nil {
		return reply, nil
	}
	now := time.Now()
	for _, r := range table.Routes() {
		if r.Idempotent() || len(reply.Times) == maxAnswerTimes {
			continue
		}
		if longest := h.routeLatencyStats(r).LongestAnswer(now); longest > 0 {
			reply.Times = append(reply.Times, &wire.AnswerTime{Route: r.Name(), LongestMicros: longest.Microseconds()})
		}
	}
	return reply, nil
}

// askAnswerTimes asks other hosts how long requests take. This host may have started a moment ago, or
// seldom get requests of a route.
func (h *Host) askAnswerTimes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, answerTimesTimeout)
	defer cancel()
	var calls work.Group
	sources := h.fleet.LargestOthers(maxAnswerTimeSources)
	for _, m := range sources {
		calls.Go(func() {
			reply, err := h.HostTransport.AnswerTimes(ctx, m.GateAddress(), &wire.AnswerTimesRequest{})
			if err != nil {
				h.Log.WithField("member", m.Host()).WithError(err).Info("host does not tell how long requests take")
				return
			}
			h.applyAnswerTimes(reply.GetTimes())
		})
	}
	calls.Wait()
	h.Log.WithFields(logrus.Fields{"hosts": len(sources), "stopping-ms": h.stop.elapsed().Milliseconds()}).Info("other hosts were asked how long requests take")
}

// applyAnswerTimes records what another host tells; it ignores implausible times.
func (h *Host) applyAnswerTimes(times []*wire.AnswerTime) {
	for _, t := range times[:min(maxAnswerTimes, len(times))] {
		longest := time.Duration(t.GetLongestMicros()) * time.Microsecond
		if longest > 0 {
			h.stop.answerTimes.Record(t.GetRoute(), longest)
		}
	}
}
