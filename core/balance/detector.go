package balance

import "time"

const (
	// maxSampleRatio caps the ratio of one sample, so that a single outlier does not mark a
	// target as slow.
	maxSampleRatio = 5.0
	// sampleWeight is the EWMA weight of the newest sample.
	sampleWeight = 0.3
	// slowRatio is the average above which a target is marked as slow. Two consecutive samples
	// of maxSampleRatio reach it, one does not.
	slowRatio = 2.5
	// recoveredRatio is the ratio below which a probe clears the mark. It is lower than
	// slowRatio to avoid flapping. The average restarts from it, so that one more slow call
	// marks the target again.
	recoveredRatio = 1.7
	// minProbeInterval and maxProbeInterval bound the time between probes of a slow target. A
	// probe is a real call, so the interval doubles while the target stays slow.
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = 4 * time.Second
)

// SlowDetector detects whether a target is slow. Its samples are ratios of the measured to
// the expected service time of a call. The zero value is ready to use.
type SlowDetector struct {
	// ratio is the EWMA of the samples; zero until the first one.
	ratio float64
	slow  bool
	// probing is true while a probe is in flight.
	probing       bool
	nextProbe     time.Duration
	probeInterval time.Duration
}

// Ratio returns the average ratio, at least 1. It is 1 without samples.
func (p *SlowDetector) Ratio() float64 { return max(p.ratio, 1) }

// Slow reports whether the target is marked as slow and should be avoided.
func (p *SlowDetector) Slow() bool { return p.slow }

// Observe adds the ratio of one call, which may be a probe.
func (p *SlowDetector) Observe(now time.Duration, ratio float64, probe bool) {
	ratio = min(ratio, maxSampleRatio)
	if p.ratio == 0 {
		p.ratio = 1
	}
	p.ratio += sampleWeight * (ratio - p.ratio)
	if probe {
		p.probing = false
		p.probeInterval = min(2*p.probeInterval, maxProbeInterval)
		p.nextProbe = now + p.probeInterval
		if ratio < recoveredRatio {
			p.slow, p.ratio = false, recoveredRatio
		}
	}
	if !p.slow && p.ratio > slowRatio {
		p.markSlow(now)
	}
}

// Fail marks the target as slow after a call that crashed it, could not reach it, or got no
// usable answer.
func (p *SlowDetector) Fail(now time.Duration, probe bool) {
	p.ratio = maxSampleRatio
	if probe {
		p.probing = false
		p.probeInterval = min(2*p.probeInterval, maxProbeInterval)
		p.nextProbe = now + p.probeInterval
	}
	if !p.slow {
		p.markSlow(now)
	}
}

func (p *SlowDetector) markSlow(now time.Duration) {
	p.slow = true
	p.probeInterval = minProbeInterval
	p.nextProbe = now + p.probeInterval
}

// ProbeDue reports whether it is time to send a probe to a slow target.
func (p *SlowDetector) ProbeDue(now time.Duration) bool {
	return p.slow && !p.probing && now >= p.nextProbe
}

// StartProbe records the start of a probe. Its end is reported to Observe, Fail or
// AbandonProbe.
func (p *SlowDetector) StartProbe() { p.probing = true }

// AbandonProbe records that a probe ended without a measurement.
func (p *SlowDetector) AbandonProbe(now time.Duration) {
	p.probing = false
	p.nextProbe = now + p.probeInterval
}
