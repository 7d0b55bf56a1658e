package standin

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// WeightStore stands in for the weight store. It limits the rate of model loads; further
// loads wait.
type WeightStore struct {
	limiter *rate.Limiter
}

// NewWeightStore returns a store that serves the given number of loads per minute.
func NewWeightStore(loads int) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(float64(loads)/time.Minute.Seconds()), 1)}
}

// WaitTurn blocks until the rate limit admits one load. It returns false if the context ends
// or its deadline leaves too little time.
func (s *WeightStore) WaitTurn(ctx context.Context) bool { return s.limiter.Wait(ctx) == nil }
