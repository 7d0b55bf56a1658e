package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/quota"
)

// TestAnyWindow guards against more retries than ratio and slack allow in any interval of the
// length of a window.
func TestAnyWindow(t *testing.T) {
	is := is.New(t)
	const window = 10 * time.Second
	random := rand.New(rand.NewPCG(1, 1))
	q := quota.New(window, 0.2, 5)
	var requests, retries []time.Duration
	for now := time.Duration(0); now < time.Minute; now += time.Duration(random.Int64N(int64(100 * time.Millisecond))) {
		if random.IntN(2) == 0 {
			q.CountRequest(now)
			requests = append(requests, now)
		}
		if q.TrySpend(now) {
			retries = append(retries, now)
		}
	}
	count := func(times []time.Duration, from, to time.Duration) (n int) {
		for _, t := range times {
			if t >= from && t < to {
				n++
			}
		}
		return n
	}
	is.True(len(retries) > 10)
	for from := time.Duration(0); from < 50*time.Second; from += 100 * time.Millisecond {
		// Requests shortly before the window still count for the bound.
		most := max(count(requests, from, from+window), count(requests, from-window, from), count(requests, from-window/2, from+window/2))
		is.True(float64(count(retries, from, from+window)) <= 0.2*float64(most)*1.1+5+1)
	}
}

// TestSlackOnly guards against a host without requests that sends more retries than its slack.
func TestSlackOnly(t *testing.T) {
	is := is.New(t)
	q := quota.New(10*time.Second, 0.2, 3)
	spent := 0
	for range 10 {
		if q.TrySpend(0) {
			spent++
		}
	}
	is.Equal(spent, 3)
	is.True(!q.TrySpend(9 * time.Second))
	is.True(q.TrySpend(12 * time.Second)) // the next window
}
