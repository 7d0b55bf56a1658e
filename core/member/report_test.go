package member_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/member"
)

// TestReportsOfColdTargets guards against hosts that keep different cold times of two reports with the same version,
// and against a newer report that doesn't replace an older one with a longer time.
func TestReportsOfColdTargets(t *testing.T) {
	is := is.New(t)
	long, short := member.Report{Target: "t", Version: 2, Cold: 3 * time.Second}, member.Report{Target: "t", Version: 2, Cold: time.Second}
	is.Equal(long.Merge(short).Cold, 3*time.Second)
	is.Equal(short.Merge(long).Cold, 3*time.Second)
	ended := member.Report{Target: "t", Version: 3, Cold: time.Millisecond}
	is.Equal(long.Merge(ended).Cold, time.Millisecond)
	is.Equal(ended.Merge(long).Cold, time.Millisecond)
}
