package gate

import (
	"path"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/booking"
	"github.com/foxtailshelf/foxtailshelf/internal/claims"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// outcomeGracePeriod extends the wait for the result of a booking whose entry was
// lost. The wait begins at the loss and lasts for the time to the deadline that the
// request states, plus this period.
const outcomeGracePeriod = 5 * time.Second

// finalizeClaim finalizes the claim of a booking whose entry was lost, once the run
// has ended, so that a caller that sends the request again gets its outcome. If the
// run does not end within the wait described at outcomeGracePeriod, the claim stays
// as it is. Until then the run counts as in flight, so that a stopping gate waits for it.
func (g *Gate) finalizeClaim(request *wire.ScatterRequest, replies <-chan *wire.ScatterReply, outstanding int) {
	if request.GetClaimKey() == "" || outstanding == 0 {
		return
	}
	claim, err := booking.ParseRecord(request.GetClaim())
	if err != nil {
		return
	}
	timeout := time.Duration(request.GetDeadlineMicros())*time.Microsecond + outcomeGracePeriod
	end := g.intake.Begin()
	started := g.tasks.Go(func() {
		defer end()
		select {
		case reply := <-replies:
			finalized := claims.Finalize(g.Store, request.GetClaimKey(), finalRecord(claim, reply))
			g.Timeline.Add("outcome-kept", request.GetRequestId(), "%s, claim finalized: %v", reply.GetOutcome(), finalized)
		case <-time.After(timeout):
		}
	})
	if !started {
		end()
	}
}

// finalRecord returns the claim record that states the outcome of the run.
func finalRecord(claim booking.Record, reply *wire.ScatterReply) booking.Record {
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
