package estimate

import "math"

const (
	// bucketBits splits each power of two into 8 buckets, so that quantiles are off by at most
	// 6%.
	bucketBits = 3
	octaves    = 42 // up to 73 min in nanoseconds
	numBuckets = octaves << bucketBits
	// window is the number of samples after which the weight of a sample has decayed to 1/e.
	window = 128
	// maxSampleWeight is the weight of a new sample above which all weights are rescaled.
	maxSampleWeight = 1 << 20
)

// Distribution is a histogram with exponentially decaying weights; values below 1 count as 1.
// The zero value is empty.
type Distribution struct {
	weights [numBuckets]float32
	// total is the sum of weights; sum is the weighted sum of values.
	total, sum float64
	// sampleWeight is the weight of the next sample. It grows by 1/window per sample, which is
	// equivalent to decaying all older samples.
	sampleWeight float64
	samples      int
}

// Add adds a sample.
func (d *Distribution) Add(v float64) {
	if d.sampleWeight == 0 {
		d.sampleWeight = 1
	}
	v = max(v, 1)
	d.weights[bucketIndex(v)] += float32(d.sampleWeight)
	d.total += d.sampleWeight
	d.sum += d.sampleWeight * v
	d.sampleWeight *= 1 + 1.0/window
	d.samples++
	if d.sampleWeight > maxSampleWeight {
		d.scale(1 / d.sampleWeight)
	}
}

func (d *Distribution) scale(f float64) {
	for i := range d.weights {
		d.weights[i] *= float32(f)
	}
	d.total *= f
	d.sum *= f
	d.sampleWeight *= f
}

// Len returns the number of samples added.
func (d *Distribution) Len() int { return d.samples }

// Mean returns the decayed mean; zero if empty.
func (d *Distribution) Mean() float64 {
	if d.samples == 0 {
		return 0
	}
	return d.sum / d.total
}

// Quantile returns the q-quantile of the samples, rounded to the middle of its bucket; zero if
// empty.
func (d *Distribution) Quantile(q float64) float64 {
	remaining := q * d.total
	value := 0.0
	for i, w := range d.weights {
		if w == 0 {
			continue
		}
		value = bucketMidpoint(i)
		if remaining -= float64(w); remaining <= 0 {
			return value
		}
	}
	return value
}

// bucketIndex returns the bucket of a value: its exponent and the first bits of its mantissa.
func bucketIndex(v float64) int {
	i := int(math.Float64bits(v)>>(52-bucketBits)) - 1023<<bucketBits
	return min(i, numBuckets-1)
}

// bucketMidpoint returns the value in the middle of a bucket.
func bucketMidpoint(i int) float64 {
	lower := math.Float64frombits(uint64(i+1023<<bucketBits) << (52 - bucketBits))
	return lower * (1 + 0.5/float64(int(1)<<bucketBits+i&(1<<bucketBits-1)))
}
