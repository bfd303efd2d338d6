// Package allowance decides which requests of client accounts run, so that all hosts together
// keep to the limit of each account. An Issuer issues tokens out of its part of the limit, a
// Holder spends them on requests. The package does no I/O, reads no clock and starts no
// goroutine.
package allowance

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/account"
)

const (
	// maxIssuers is how many hosts issue the tokens of one account. Two others remain if one
	// has failed.
	maxIssuers = 3
	// Validity is how long a token can be used. A window of requests can contain the tokens
	// issued in this time before it.
	Validity = 500 * time.Millisecond
	// reserveRatioFew and reserveRatioMany are the parts of Margin.Slack that each issuer adds to
	// the capacity of a bucket. Accounts with a burst of one or two requests need it: callers
	// that send at random times often send several requests within a second. The rest of the
	// slack is the own allowance of the hosts. It is of more use where at most fewHosts carry
	// the load, since each then has a larger share of it: the reserve is smaller there.
	reserveRatioFew  = 0.075
	reserveRatioMany = 0.14
	fewHosts         = 20
	// takeovers is how many new issuers of one account Margin provides for in a window. All
	// issuers are replaced if a group of hosts is cut off.
	takeovers = 3
	// takeoverReserve is the part of the reserve of a new issuer that falls into one window
	// with the tokens of the issuer that it replaces. The reserve grows during a whole window,
	// and a host is replaced at the earliest 2.1 s after it was cut off.
	takeoverReserve = 0.6
)

// A Margin is what the requests of an account in a window may exceed its limit by:
// Tolerance times the limit, plus Slack.
type Margin struct {
	Window           time.Duration
	Tolerance, Slack float64
}

// reserve returns how many tokens a bucket holds beyond its part of the burst. hosts is how many
// hosts carry the load.
func (m Margin) reserve(hosts float64) float64 {
	if hosts <= fewHosts {
		return reserveRatioFew * m.Slack
	}
	return reserveRatioMany * m.Slack
}

// OwnAllowance returns how many requests of an account all hosts together may run in a window
// without a token. It is the margin without the tokens that can be issued above the limit:
// those issued in Validity before the window, those of buckets that hold more than their
// part of the burst, and those of takeovers. hosts is how many hosts carry the load.
func (m Margin) OwnAllowance(l account.Limit, hosts float64) float64 {
	if m.Window <= 0 {
		return 0
	}
	reserve := m.reserve(hosts)
	margin := m.Tolerance*(l.RatePerSecond*m.Window.Seconds()+l.Burst) + m.Slack
	margin -= l.RatePerSecond * Validity.Seconds()
	margin -= maxIssuers*(1+reserve) + takeovers*(1+takeoverReserve*reserve)
	// Parts are rounded to whole requests, see View.part.
	return max(0, margin-1)
}
