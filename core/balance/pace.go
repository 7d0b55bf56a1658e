package balance

import "time"

const (
	// clip bounds the weight of one sample, so that one outlier makes no target slow.
	clip = 5.0
	// weight is the part of the newest sample in the average.
	weight = 0.3
	// slowRatio marks a target as slow: two samples at the clip reach it, one does not.
	slowRatio = 2.5
	// goodRatio is the ratio of a probe that ends the mark; it is lower than slowRatio to
	// avoid flapping. The average then starts from it, so that one more slow call marks
	// the target again.
	goodRatio = 1.7
	// firstPause and lastPause bound the time between probes of a slow target. A probe
	// is a real call, so the pause doubles while the target stays slow.
	firstPause = 250 * time.Millisecond
	lastPause  = 4 * time.Second
)

// Pace tells whether a target is slow, from own measurements. The unit is the ratio of
// the measured to the expected time of a call.
type SlowDetector struct {
	// ratio is the moving average; zero until the first sample.
	ratio float64
	slow  bool
	// probing is true while a probe is in flight.
	probing bool
	probe   time.Duration
	pause   time.Duration
}

// Ratio returns the average ratio, at least 1 once there are samples; 1 before.
func (p *SlowDetector) Ratio() float64 { return max(p.ratio, 1) }

// Slow reports whether the target is to be avoided.
func (p *SlowDetector) Slow() bool { return p.slow }

// Observe takes the ratio of one call; probe says that the call was a probe.
func (p *SlowDetector) Observe(now time.Duration, ratio float64, probe bool) {
	ratio = min(ratio, clip)
	if p.ratio == 0 {
		p.ratio = 1
	}
	p.ratio += weight * (ratio - p.ratio)
	if probe {
		p.probing = false
		p.pause = min(2*p.pause, lastPause)
		p.probe = now + p.pause
		if ratio < goodRatio {
			p.slow, p.ratio = false, goodRatio
		}
	}
	if !p.slow && p.ratio > slowRatio {
		p.mark(now)
	}
}

// Fail takes a call that the target did not survive or answer.
func (p *SlowDetector) Fail(now time.Duration, probe bool) {
	p.ratio = clip
	if probe {
		p.probing = false
		p.pause = min(2*p.pause, lastPause)
		p.probe = now + p.pause
	}
	if !p.slow {
		p.mark(now)
	}
}

func (p *SlowDetector) mark(now time.Duration) {
	p.slow = true
	p.pause = firstPause
	p.probe = now + p.pause
}

// Due reports whether a slow target may get a probe.
func (p *SlowDetector) ProbeDue(now time.Duration) bool {
	return p.slow && !p.probing && now >= p.probe
}

// Start takes note of a probe that starts. Its end is told to Observe, Fail or Drop.
func (p *SlowDetector) StartProbe() { p.probing = true }

// Drop takes note of a probe that ended without a measurement.
func (p *SlowDetector) AbandonProbe(now time.Duration) {
	p.probing = false
	p.probe = now + p.pause
}
