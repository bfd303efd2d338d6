package dispatch

// This file divides the budgets for extra attempts among client accounts (budget.Shares).

import (
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/budget"
)

// extraShareWindow is over what time the extra attempts of accounts are compared with what
// they have earned: about the window of the budgets on the users' platform.
const extraShareWindow = 10 * time.Second

// accountExtras counts the extra attempts of accounts over all services. The zero value is
// ready for use.
type accountExtras struct {
	mu     sync.Mutex
	shares *budget.Shares[string]
}

func (e *accountExtras) withShares(do func(*budget.Shares[string])) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shares == nil {
		e.shares = budget.NewShares[string](extraShareWindow)
	}
	do(e.shares)
}

// recordEarned counts the parts of a request, which earn extra attempts for its account.
func (f *inFlightRequest) recordEarned() {
	if f.request.Account != nil {
		f.dispatcher.extras.withShares(func(s *budget.Shares[string]) {
			s.RecordRequests(f.startedAt, f.request.Account.Name(), len(f.parts))
		})
	}
}

// spendRetry counts a retry and reports true, unless the budget of the service or the share
// of the account is used up. spendHedge does so for a hedge.
func (f *inFlightRequest) spendRetry(now time.Time, p *part) bool {
	return f.maySpend(now, p) && p.pool.SpendRetry(now) && f.recordExtra(now, 1)
}

func (f *inFlightRequest) spendHedge(now time.Time, p *part) bool {
	return f.maySpend(now, p) && p.pool.SpendHedge(now) && f.recordExtra(now, 1)
}

// refundExtra gives back an extra attempt of spentAt that reached no upstream.
func (f *inFlightRequest) refundExtra(now, spentAt time.Time, p *part) {
	p.pool.Refund(now, spentAt)
	f.recordExtra(now, -1)
}

func (f *inFlightRequest) maySpend(now time.Time, p *part) (may bool) {
	if f.request.Account == nil {
		return true
	}
	remaining, ratio := p.pool.RemainingExtraRatio(now), p.pool.ExtraRatio()
	f.dispatcher.extras.withShares(func(s *budget.Shares[string]) {
		may = s.MaySpend(now, f.request.Account.Name(), ratio, remaining)
	})
	return may
}

// recordExtra counts an extra attempt of the account. It returns true.
func (f *inFlightRequest) recordExtra(now time.Time, count int) bool {
	if f.request.Account != nil {
		f.dispatcher.extras.withShares(func(s *budget.Shares[string]) { s.RecordExtra(now, f.request.Account.Name(), count) })
	}
	return true
}
