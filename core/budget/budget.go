package budget

// Unbounded is the percentage of a budget that never refuses.
const Unbounded = -1

// Budget is a token bucket that is filled by original work and pays for added work.
type Budget struct {
	percent int
	// tokens is at most burst. It can be negative after Adjust.
	tokens       float64
	burst        float64
	originalWork float64
	addedWork    float64
}

// New returns a budget of a percentage of the original work, with the initial tokens and the
// maximum number of tokens.
func New(percent int, initial, burst float64) Budget {
	return Budget{percent: percent, tokens: initial, burst: burst}
}

// SetPercent sets the percentage. The tokens in the bucket stay.
func (b *Budget) SetPercent(percent int) { b.percent = percent }

// Deposit adds the tokens for original work.
func (b *Budget) Deposit(work float64) {
	b.originalWork += work
	b.tokens = min(b.tokens+work*float64(max(b.percent, 0))/100, b.burst)
}

// Allows reports whether the budget has enough tokens for added work.
func (b *Budget) Allows(work float64) bool {
	return b.percent < 0 || b.percent > 0 && b.tokens >= work
}

// Withdraw takes the tokens for added work. It reports false, and takes none, if the budget
// does not allow the work.
func (b *Budget) Withdraw(work float64) bool {
	if !b.Allows(work) {
		return false
	}
	if b.percent > 0 {
		b.tokens -= work
	}
	b.addedWork += work
	return true
}

// Adjust corrects an earlier withdrawal by the difference between actual and predicted work.
// The tokens may become negative; then nothing is allowed until deposits make up for it.
func (b *Budget) Adjust(work float64) {
	if b.percent > 0 {
		b.tokens = min(b.tokens-work, b.burst)
	}
	b.addedWork += work
}

// AddedPercent returns all added work so far in percent of the original work.
func (b *Budget) AddedPercent() float64 {
	if b.originalWork == 0 {
		return 0
	}
	return 100 * b.addedWork / b.originalWork
}
