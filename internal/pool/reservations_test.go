package pool

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReservationsAreBounded checks that searches are forgotten after their period, and that there are never more
// than maxReservations, however many request ids arrive.
func TestReservationsAreBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	b := &Reservations{}
	for n := range 3 * maxReservations {
		b.add(fmt.Sprint(n), &reservation{until: now.Add(reservationPeriod)})
	}
	c.Check(len(b.searches), qt.Equals, maxReservations)
	c.Check(len(b.order), qt.Equals, maxReservations)
	b.expire(now.Add(reservationPeriod))
	c.Check(len(b.searches), qt.Equals, maxReservations)
	b.expire(now.Add(reservationPeriod + 1))
	c.Check(len(b.searches)+len(b.order), qt.Equals, 0)
}
