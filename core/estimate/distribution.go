package estimate

import "math"

const (
	// subBits splits each power of two into 8 buckets: quantiles are off by 6% at most.
	subBits = 3
	octaves = 42 // as nanoseconds: up to 73 min
	buckets = octaves << subBits
	// window is the number of samples after which a sample weighs 1/e.
	window = 128
	// rescale bounds the weight of new samples before all weights are divided by it.
	rescale = 1 << 20
)

// Distribution is a decayed histogram of values of at least 1. The zero value is empty.
type Distribution struct {
	weights [buckets]float32
	// total is the sum of weights; sum is the sum of values by weight.
	total, sum float64
	// gain is the weight of the next sample. It grows by 1/window per sample, which is
	// the same as to decay all older samples.
	gain float64
	n    int
}

// Add takes one sample.
func (d *Distribution) Add(v float64) {
	if d.gain == 0 {
		d.gain = 1
	}
	v = max(v, 1)
	d.weights[bucketOf(v)] += float32(d.gain)
	d.total += d.gain
	d.sum += d.gain * v
	d.gain *= 1 + 1.0/window
	d.n++
	if d.gain > rescale {
		d.scale(1 / d.gain)
	}
}

func (d *Distribution) scale(f float64) {
	for i := range d.weights {
		d.weights[i] *= float32(f)
	}
	d.total *= f
	d.sum *= f
	d.gain *= f
}

// Len returns the number of samples taken.
func (d *Distribution) Len() int { return d.n }

// Mean returns the decayed mean; zero if empty.
func (d *Distribution) Mean() float64 {
	if d.n == 0 {
		return 0
	}
	return d.sum / d.total
}

// Quantile returns the value that a share q of the samples does not exceed; zero if
// empty.
func (d *Distribution) Quantile(q float64) float64 {
	rest := q * d.total
	last := 0.0
	for i, w := range d.weights {
		if w == 0 {
			continue
		}
		last = valueOf(i)
		if rest -= float64(w); rest <= 0 {
			return last
		}
	}
	return last
}

// bucketOf uses the exponent and the first mantissa bits of the value as the bucket.
func bucketOf(v float64) int {
	i := int(math.Float64bits(v)>>(52-subBits)) - 1023<<subBits
	return min(i, buckets-1)
}

// valueOf returns the middle of a bucket.
func valueOf(i int) float64 {
	low := math.Float64frombits(uint64(i+1023<<subBits) << (52 - subBits))
	return low * (1 + 0.5/float64(int(1)<<subBits+i&(1<<subBits-1)))
}
