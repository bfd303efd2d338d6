// Package budget bounds extra attempts in proportion to planned attempts or requests.
package budget

// A Budget is a token bucket that planned attempts fill and extra attempts drain.
// It is not safe for concurrent use.
type Budget struct {
	// ratio is the number of tokens earned for each planned attempt.
	ratio float64
	// burst is the maximum number of tokens.
	burst float64
	// tokens is between 0 and burst.
	tokens float64
}

// New returns a full Budget that earns ratio tokens for each planned attempt.
func New(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// Earn adds the tokens of one planned attempt.
func (b *Budget) Earn() {
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Spend takes one token. It reports false, and takes nothing, if less than one token
// is left.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
