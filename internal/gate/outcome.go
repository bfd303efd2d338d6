package gate

import (
	"path"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/booking"
	"github.com/foxtailshelf/foxtailshelf/internal/claims"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// outcomeGrace is how much longer than its deadline a booking is waited for.
const outcomeGrace = 5 * time.Second

// keepOutcome settles the claim of a booking whose entry was lost, once its run
// has ended, so that a caller that sends it again learns what became of it.
func (g *Gate) keepOutcome(request *wire.ScatterRequest, replies <-chan *wire.ScatterReply, outstanding int) {
	if request.GetClaimKey() == "" || outstanding == 0 {
		return
	}
	claim, err := booking.ParseRecord(request.GetClaim())
	if err != nil {
		return
	}
	left := time.Duration(request.GetDeadlineMicros())*time.Microsecond + outcomeGrace
	g.group.Go(func() {
		select {
		case reply := <-replies:
			settled := claims.Finalize(g.Store, request.GetClaimKey(), settledRecord(claim, reply))
			g.Timeline.Add("outcome-kept", request.GetRequestId(), "%s, written: %v", reply.GetOutcome(), settled)
		case <-time.After(left):
		}
	})
}

// settledRecord returns the claim after its run.
func settledRecord(claim booking.Record, reply *wire.ScatterReply) booking.Record {
	switch reply.GetOutcome() {
	case wire.Outcome_OUTCOME_ANSWERED:
		claim.Phase = booking.PhaseDone
		claim.Part = &booking.Part{
			Shard: path.Base(reply.GetShard()), Version: reply.GetVersion().GetNumber(), Map: reply.GetVersion().GetMap(), Body: reply.GetBody(),
		}
	case wire.Outcome_OUTCOME_NOT_RUN:
		claim.Phase = booking.PhaseReleased
	default:
		claim.Phase = booking.PhaseUnknown
	}
	return claim
}
