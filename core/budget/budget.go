package budget

// Unbounded is the percentage of a budget that never refuses.
const Unbounded = -1

// Budget is a token bucket filled by work.
type Budget struct {
	percent int
	// tokens is at most burst.
	tokens float64
	burst  float64
	earned float64
	spent  float64
}

// New returns a budget of a percentage of the work, with a number of tokens to begin with
// and a bound on the tokens that can be saved.
func New(percent int, initial, burst float64) Budget {
	return Budget{percent: percent, tokens: initial, burst: burst}
}

// SetPercent changes the percentage; saved tokens stay.
func (b *Budget) SetPercent(percent int) { b.percent = percent }

// Earn takes note of original work.
func (b *Budget) Deposit(work float64) {
	b.earned += work
	b.tokens = min(b.tokens+work*float64(max(b.percent, 0))/100, b.burst)
}

// Allows reports whether the budget can pay for added work.
func (b *Budget) Allows(work float64) bool {
	return b.percent < 0 || b.percent > 0 && b.tokens >= work
}

// Spend pays for added work and reports whether the budget allows it.
func (b *Budget) Withdraw(work float64) bool {
	if !b.Allows(work) {
		return false
	}
	if b.percent > 0 {
		b.tokens -= work
	}
	b.spent += work
	return true
}

// Adjust corrects what was paid for added work by the difference to what it took. Tokens
// may fall below zero; the debt is earned back first.
func (b *Budget) Adjust(work float64) {
	if b.percent > 0 {
		b.tokens = min(b.tokens-work, b.burst)
	}
	b.spent += work
}

// Spent returns the added work in percent of the original work so far.
func (b *Budget) AddedPercent() float64 {
	if b.earned == 0 {
		return 0
	}
	return 100 * b.spent / b.earned
}
