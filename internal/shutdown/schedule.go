package shutdown

import "time"

const (
	// finishPeriod is the last part of the grace, in which no new request is accepted.
	finishPeriod = 1500 * time.Millisecond
	// minAcceptPeriod is the shortest time for which a stopping host accepts requests.
	minAcceptPeriod = 200 * time.Millisecond
	// The last answerMargin of the grace is for writing answers and ending the process. It is
	// never more than maxAnswerMarginRatio of the grace: upstreams that are silent get the rest.
	answerMargin         = 600 * time.Millisecond
	maxAnswerMarginRatio = 1.0 / 6
)

// A Schedule says until when a stopping host does what. Its zero value belongs to a host that
// does not stop. Each of its times is later than the one before.
type Schedule struct {
	beganAt     time.Time
	acceptUntil time.Time
	answerBy    time.Time
	cancelAt    time.Time
	exitBy      time.Time
}

// NewSchedule returns the schedule of a stop whose process is killed grace after beganAt.
func NewSchedule(beganAt time.Time, grace time.Duration) Schedule {
	margin := min(answerMargin, time.Duration(maxAnswerMarginRatio*float64(grace)))
	answerBy := beganAt.Add(grace - margin)
	return Schedule{
		beganAt: beganAt, acceptUntil: beganAt.Add(AcceptPeriod(grace)), answerBy: answerBy,
		cancelAt: answerBy.Add(margin / 3), exitBy: answerBy.Add(2 * margin / 3),
	}
}

// AcceptPeriod returns how long a stopping host accepts requests.
func AcceptPeriod(grace time.Duration) time.Duration {
	return max(minAcceptPeriod, grace-finishPeriod)
}

// AcceptUntil returns until when new requests may be accepted.
func (s Schedule) AcceptUntil() time.Time { return s.acceptUntil }

// Admits reports whether a request that takes a duration from now can be accepted and still be answered.
func (s Schedule) Admits(now time.Time, duration time.Duration) bool {
	return now.Before(s.acceptUntil) && !now.After(s.BeginBy(duration))
}

// AnswerBy returns by when all requests are answered, also those whose upstreams are silent.
func (s Schedule) AnswerBy() time.Time { return s.answerBy }

// BeganAt returns when the stop began.
func (s Schedule) BeganAt() time.Time { return s.beganAt }

// BeginBy returns when a request that takes a duration has to begin at the latest.
func (s Schedule) BeginBy(duration time.Duration) time.Time { return s.answerBy.Add(-duration) }

// CancelAt returns when what is still in flight is cancelled.
func (s Schedule) CancelAt() time.Time { return s.cancelAt }

// ExitBy returns when the host closes its connections and ends.
func (s Schedule) ExitBy() time.Time { return s.exitBy }
