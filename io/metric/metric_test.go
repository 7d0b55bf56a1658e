package metric_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/io/metric"
)

// TestTime guards against latencies that are not in the metrics, or in the wrong unit.
func TestObserveDuration(t *testing.T) {
	is := is.New(t)
	m := metric.New()
	for i := range 100 {
		m.ObserveDuration("first.stream", time.Duration(i+1)*time.Millisecond)
	}
	v := m.Values()
	is.Equal(v["first.stream.count"], int64(100))
	is.True(v["first.stream.p50"] >= 49 && v["first.stream.p50"] <= 52)
	is.True(v["first.stream.p99"] >= 98)
}
