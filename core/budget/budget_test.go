package budget_test

import (
	"testing"

	"github.com/matryer/is"

	"sassafrasward/core/budget"
)

// TestBudget guards against retries and hedges that add more than their percentage, under
// steady load and in a burst after a long time without any.
func TestBudget(t *testing.T) {
	for _, test := range []struct {
		name        string
		percent     int
		deposits    int
		withdrawals int
		min, max    int
	}{
		{"none", 0, 1000, 1000, 0, 0},
		{"five percent", 5, 1000, 1000, 50, 51},
		{"no more than tried", 100, 1000, 100, 100, 100},
		{"unbounded", budget.Unbounded, 10, 1000, 1000, 1000},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := budget.New(test.percent, 1, 4)
			spent := 0
			for i := range max(test.deposits, test.withdrawals) {
				if i < test.deposits {
					b.Deposit(1)
				}
				if i < test.withdrawals && b.Withdraw(1) {
					spent++
				}
			}
			is.True(spent >= test.min && spent <= test.max)
		})
	}
	is := is.New(t)
	b := budget.New(5, 0, 4)
	b.Deposit(1000)
	for range 4 {
		is.True(b.Withdraw(1))
	}
	is.True(!b.Withdraw(1)) // tokens beyond the burst are not kept
	is.Equal(b.AddedPercent(), 0.4)
}
