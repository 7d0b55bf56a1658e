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
func (d *SlowDetector) Ratio() float64 { return max(d.ratio, 1) }

// Slow reports whether the target is marked as slow and should be avoided.
func (d *SlowDetector) Slow() bool { return d.slow }

// Observe adds the ratio of one call, which may be a probe.
func (d *SlowDetector) Observe(now time.Duration, ratio float64, probe bool) {
	ratio = min(ratio, maxSampleRatio)
	if d.ratio == 0 {
		d.ratio = 1
	}
	d.ratio += sampleWeight * (ratio - d.ratio)
	if probe {
		d.probing = false
		d.probeInterval = min(2*d.probeInterval, maxProbeInterval)
		d.nextProbe = now + d.probeInterval
		if ratio < recoveredRatio {
			d.slow, d.ratio = false, recoveredRatio
		}
	}
	if !d.slow && d.ratio > slowRatio {
		d.markSlow(now)
	}
}

// Fail marks the target as slow after a call that crashed it, could not reach it, or got no
// usable answer.
func (d *SlowDetector) Fail(now time.Duration, probe bool) {
	d.ratio = maxSampleRatio
	if probe {
		d.probing = false
		d.probeInterval = min(2*d.probeInterval, maxProbeInterval)
		d.nextProbe = now + d.probeInterval
	}
	if !d.slow {
		d.markSlow(now)
	}
}

func (d *SlowDetector) markSlow(now time.Duration) {
	d.slow = true
	d.probeInterval = minProbeInterval
	d.nextProbe = now + d.probeInterval
}

// ProbeDue reports whether it is time to send a probe to a slow target.
func (d *SlowDetector) ProbeDue(now time.Duration) bool {
	return d.slow && !d.probing && now >= d.nextProbe
}

// StartProbe records the start of a probe. Its end is reported to Observe, Fail or
// AbandonProbe.
func (d *SlowDetector) StartProbe() { d.probing = true }

// AbandonProbe records that a probe ended without a measurement.
func (d *SlowDetector) AbandonProbe(now time.Duration) {
	d.probing = false
	d.nextProbe = now + d.probeInterval
}
