package estimate_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/estimate"
)

// TestQuantile guards against estimates that are off by more than a bucket, with which admission
// control would refuse work that can meet its deadline or accept work that cannot.
func TestQuantile(t *testing.T) {
	for _, test := range []struct {
		name   string
		from   float64
		to     float64
		q      float64
		expect float64
	}{
		{"one value", 1000, 1000, 0.95, 1000},
		{"median", 1000, 2000, 0.5, 1500},
		{"high", 1000, 2000, 0.95, 1950},
		{"minutes", 60e9, 120e9, 0.5, 90e9},
		{"below one", 0, 0, 0.5, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var d estimate.Distribution
			for i := range 100 {
				d.Add(test.from + (test.to-test.from)*float64((i*37)%100)/100)
			}
			is.True(math.Abs(d.Quantile(test.q)/test.expect-1) < 0.08) // within a bucket
			is.True(d.Mean() > test.from*0.999 && d.Mean() < max(test.to, 1)*1.001)
		})
	}
}

// TestDecay guards against estimates that do not follow a change of the values, also after so
// many samples that the weights were rescaled.
func TestDecay(t *testing.T) {
	is := is.New(t)
	var d estimate.Distribution
	for range 5_000 {
		d.Add(1000)
	}
	for range 300 {
		d.Add(8000)
	}
	is.True(d.Quantile(0.5) > 7000)
	is.True(d.Mean() > 7000)
}

// TestEstimator guards against estimates from too few samples, a missing fallback to a broader
// key, and an estimate that is too high and never corrected because all work is refused.
func TestEstimator(t *testing.T) {
	is := is.New(t)
	e := estimate.New[string]()
	for i := range 5 {
		_, ok := e.Get("narrow")
		is.True(!ok) // four samples are too few
		e.Add(time.Duration(i), "narrow", 100)
	}
	s, ok := e.Get("absent", "narrow")
	is.True(ok && s.Mean() == 100 && s.P95() >= s.Median())
	is.True(!e.AllowTrial(time.Second/2, "narrow", time.Second)) // recently measured
	is.True(e.AllowTrial(2*time.Second, "narrow", time.Second))
	is.True(!e.AllowTrial(2*time.Second, "narrow", time.Second)) // the last trial was too recent
	is.Equal(estimate.SizeClass(0), int8(0))
	is.Equal(estimate.SizeClass(1000), int8(39))
}
