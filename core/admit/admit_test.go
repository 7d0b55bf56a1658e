package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/admit"
)

// TestAdmit guards against admitting requests whose path does not end in time, and against
// refusing requests that would be served late but within their caller's timeout.
func TestAdmit(t *testing.T) {
	limits := admit.TimeLimits{Objective: 2 * time.Second, ObjectiveLeft: 2 * time.Second, Timeout: 8 * time.Second, TimeoutLeft: 8 * time.Second}
	shortLimits := limits
	shortLimits.TimeoutLeft = 4 * time.Second
	for name, c := range map[string]struct {
		onTime, late time.Duration
		limits       admit.TimeLimits
		decision     admit.Decision
		retryAfter   time.Duration
	}{
		"idle":                     {onTime: time.Second, late: time.Second, limits: limits, decision: admit.OnTime},
		"in the reserve":           {onTime: 1900 * time.Millisecond, late: 1900 * time.Millisecond, limits: limits, decision: admit.Late},
		"late, within the timeout": {onTime: 2500 * time.Millisecond, late: 4 * time.Second, limits: limits, decision: admit.Late},
		"late, beyond the timeout": {onTime: 2500 * time.Millisecond, late: 5 * time.Second, limits: limits, decision: admit.Refused, retryAfter: 800 * time.Millisecond},
		"little time left":         {onTime: 2500 * time.Millisecond, late: 2500 * time.Millisecond, limits: shortLimits, decision: admit.Refused, retryAfter: 800 * time.Millisecond},
		"growing backlog":          {onTime: 2 * time.Second, late: time.Hour, limits: limits, decision: admit.Refused, retryAfter: 3 * time.Second},
		"far beyond the timeout":   {onTime: time.Minute, late: time.Minute, limits: limits, decision: admit.Refused, retryAfter: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			decision, retryAfter := admit.Admit(c.onTime, c.late, c.limits)
			is.Equal(decision, c.decision)
			is.Equal(retryAfter, c.retryAfter)
		})
	}
}

// TestPathEstimate guards against admitting late requests to stages that they never start.
func TestPathEstimate(t *testing.T) {
	is := is.New(t)
	stages := []admit.Stage{
		{Height: 2, ServiceTime: 200 * time.Millisecond, Backlog: admit.Backlog{OnTimeWait: 100 * time.Millisecond, LateWait: 500 * time.Millisecond}},
		{Height: 2, ServiceTime: 300 * time.Millisecond},
		{Height: 1, ServiceTime: 200 * time.Millisecond, InputTTL: 4 * time.Second, Backlog: admit.Backlog{OnTimeWait: 50 * time.Millisecond, LateWait: time.Second}},
	}
	onTime, late := admit.Path{Stages: stages, AnswerTime: 100 * time.Millisecond}.Estimate()
	is.Equal(onTime, 650*time.Millisecond) // 300 ms and 250 ms for the stages, 100 ms for the answer
	is.Equal(late, 2*time.Second)
	stages[2].Backlog.Growth = 0.5
	onTime, late = admit.Path{Stages: stages}.Estimate()
	is.Equal(onTime, 700*time.Millisecond) // the wait grows by 150 ms before it is reached
	is.True(late >= time.Hour)
	stages[2].Backlog = admit.Backlog{LateWait: 4 * time.Second}
	_, late = admit.Path{Stages: stages}.Estimate()
	is.True(late >= time.Hour) // its inputs have expired by then
}

// TestMissingGroupBacklog guards against hosts that assume a group of targets to be idle because
// its dispatching host has not reported a backlog recently.
func TestMissingGroupBacklog(t *testing.T) {
	is := is.New(t)
	b := admit.NewBacklogCache()
	is.Equal(b.Backlog(0, "retrievers", "a"), admit.Backlog{})
	b.Update(time.Second, "retrievers", "a", admit.Backlog{OnTimeWait: 200 * time.Millisecond, LateWait: time.Second, Growth: 0.2})
	b.Update(2*time.Second, "retrievers", "b", admit.Backlog{OnTimeWait: 400 * time.Millisecond, LateWait: 2 * time.Second, Growth: 0.4})
	b.Update(2*time.Second, "rerankers", "c", admit.Backlog{OnTimeWait: 9 * time.Second})
	is.Equal(b.Backlog(2*time.Second, "retrievers", "a").OnTimeWait, 200*time.Millisecond)
	is.Equal(b.Backlog(2*time.Second, "retrievers", "c").OnTimeWait, 300*time.Millisecond)
	is.Equal(b.Backlog(2500*time.Millisecond, "retrievers", "a").OnTimeWait, 400*time.Millisecond) // its own report has expired
	is.Equal(b.Backlog(4*time.Second, "retrievers", "b"), admit.Backlog{})
}
