package admit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/admit"
)

// TestRetriesAreSpread guards against a wave of retries. Load: 1,000 callers that are refused at the same
// moment and wait at most a third of 8 s.
func TestRetriesAreSpread(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	for _, room := range []time.Duration{0, time.Second, time.Minute} {
		buckets := make(map[time.Duration]int)
		for range 1000 {
			delay := admit.RetryDelay(room, 8*time.Second, random.Float64())
			is.True(delay >= min(room, 2300*time.Millisecond) && delay <= 8*time.Second/3)
			buckets[delay/(50*time.Millisecond)]++
		}
		for _, n := range buckets {
			is.True(n <= 300) // no twentieth of a second gets more than three in ten
		}
	}
	is.Equal(admit.RetryDelay(time.Second, 0, 0.5), 200*time.Millisecond) // a caller without time
}

// TestReturnedAsTold guards against callers that get ahead by coming back at once, and against a table
// that grows with the refusals.
func TestReturnedAsTold(t *testing.T) {
	is := is.New(t)
	r := admit.NewRetries()
	returned := func(after time.Duration) bool {
		r.Tell(time.Second, 7, 2*time.Second)
		_, ok := r.Returned(time.Second+after, 7)
		return ok
	}
	is.True(returned(2*time.Second) && returned(1900*time.Millisecond) && returned(2900*time.Millisecond))
	is.True(!returned(time.Second) && !returned(4*time.Second))
	_, ok := r.Returned(3*time.Second, 7)
	is.True(!ok) // only once
	for f := range uint64(2000) {
		r.Tell(time.Second, f, time.Second)
	}
	_, first := r.Returned(2*time.Second, 1)
	_, last := r.Returned(2*time.Second, 1999)
	is.True(!first && last)
}
