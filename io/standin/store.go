package standin

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Store stands in for the weight store: loads beyond its rate wait for their turn.
type WeightStore struct {
	limiter *rate.Limiter
}

// NewStore returns a store that serves the given number of loads per minute.
func NewWeightStore(loads int) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(float64(loads)/time.Minute.Seconds()), 1)}
}

// Load waits for the turn of one load and reports whether it came before the context ended.
func (s *WeightStore) WaitTurn(ctx context.Context) bool { return s.limiter.Wait(ctx) == nil }
