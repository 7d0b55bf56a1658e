package edge

import (
	"context"
	"time"
)

// prober asks the store whether it answers, while other hosts follow this one. The long polls of a host tell only after
// their wait that it is cut off from the store; its followers have to know earlier that its copy may be old.
type prober struct {
	store    *storeClient
	interval time.Duration
	clock    func() time.Duration
	// needed reports whether this host reads the store for followers.
	needed func() bool
	// reached is called with the time at which a probe was sent that the store answered.
	reached func(ctx context.Context, sentAt time.Duration)
	// due gets a value when a long poll is opened after a delay in which this host knew of no changes.
	due chan struct{}
}

// wake makes the next probe due now.
func (p *prober) wake() {
	select {
	case p.due <- struct{}{}:
	default:
	}
}

// run probes the store until the context ends, then sends nil on done.
func (p *prober) run(ctx context.Context, done chan<- error) {
	timer := time.NewTimer(p.interval)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-timer.C:
		case <-p.due:
		case <-ctx.Done():
		}
		if p.needed() {
			p.probe(ctx)
		}
		timer.Reset(p.interval)
	}
	done <- nil
}

// probe makes one probe. That the store does not answer is found by the long polls.
func (p *prober) probe(ctx context.Context) {
	sentAt := p.clock()
	probeCtx, end := p.store.begin(ctx, min(p.interval, readTimeout))
	defer end()
	if err := p.store.Probe(probeCtx); err == nil {
		p.reached(ctx, sentAt)
	}
}
