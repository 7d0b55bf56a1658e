package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/admit"
)

// TestAdmit guards against requests that are begun though their path does not end in time, and
// against refusals of those that are served late within their caller's patience.
func TestAdmit(t *testing.T) {
	times := admit.TimeLimits{Objective: 2 * time.Second, ObjectiveLeft: 2 * time.Second, Timeout: 8 * time.Second, TimeoutLeft: 8 * time.Second}
	late := times
	late.TimeoutLeft = 4 * time.Second
	for name, c := range map[string]struct {
		soon, all time.Duration
		times     admit.TimeLimits
		verdict   admit.Decision
		retry     time.Duration
	}{
		"free":                   {soon: time.Second, all: time.Second, times: times, verdict: admit.OnTime},
		"just in time":           {soon: 1900 * time.Millisecond, all: 1900 * time.Millisecond, times: times, verdict: admit.Late},
		"behind all others":      {soon: 2500 * time.Millisecond, all: 4 * time.Second, times: times, verdict: admit.Late},
		"longer than the caller": {soon: 2500 * time.Millisecond, all: 5 * time.Second, times: times, verdict: admit.Refused, retry: 800 * time.Millisecond},
		"came late":              {soon: 2500 * time.Millisecond, all: 2500 * time.Millisecond, times: late, verdict: admit.Refused, retry: 800 * time.Millisecond},
		"while waits grow":       {soon: 2 * time.Second, all: time.Hour, times: times, verdict: admit.Refused, retry: 3 * time.Second},
		"far too long":           {soon: time.Minute, all: time.Minute, times: times, verdict: admit.Refused, retry: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			verdict, retry := admit.Admit(c.soon, c.all, c.times)
			is.Equal(verdict, c.verdict)
			is.Equal(retry, c.retry)
		})
	}
}

// TestExpect guards against late requests that are begun where their turn does not come.
func TestExpect(t *testing.T) {
	is := is.New(t)
	stages := []admit.Stage{
		{Height: 2, ServiceTime: 200 * time.Millisecond, Backlog: admit.Backlog{OnTimeWait: 100 * time.Millisecond, LateWait: 500 * time.Millisecond}},
		{Height: 2, ServiceTime: 300 * time.Millisecond},
		{Height: 1, ServiceTime: 200 * time.Millisecond, InputTTL: 4 * time.Second, Backlog: admit.Backlog{OnTimeWait: 50 * time.Millisecond, LateWait: time.Second}},
	}
	soon, all := admit.Path{Stages: stages, AnswerTime: 100 * time.Millisecond}.Estimate()
	is.Equal(soon, 650*time.Millisecond) // 300 and 250 ms, and the answer
	is.Equal(all, 2*time.Second)
	stages[2].Backlog.Growth = 0.5
	soon, all = admit.Path{Stages: stages}.Estimate()
	is.Equal(soon, 700*time.Millisecond) // the wait grows by 150 ms before it is reached
	is.True(all >= time.Hour)
	stages[2].Backlog = admit.Backlog{LateWait: 4 * time.Second}
	_, all = admit.Path{Stages: stages}.Estimate()
	is.True(all >= time.Hour) // its inputs are gone by then
}

// TestUnheardGroups guards against hosts of a large fleet that take a group of targets for
// free because its dispatching host told them nothing lately.
func TestUnheardGroups(t *testing.T) {
	is := is.New(t)
	b := admit.NewBacklogCache()
	is.Equal(b.Backlog(0, "desk", "a"), admit.Backlog{})
	b.Update(time.Second, "desk", "a", admit.Backlog{OnTimeWait: 200 * time.Millisecond, LateWait: time.Second, Growth: 0.2})
	b.Update(2*time.Second, "desk", "b", admit.Backlog{OnTimeWait: 400 * time.Millisecond, LateWait: 2 * time.Second, Growth: 0.4})
	b.Update(2*time.Second, "crew", "c", admit.Backlog{OnTimeWait: 9 * time.Second})
	is.Equal(b.Backlog(2*time.Second, "desk", "a").OnTimeWait, 200*time.Millisecond)
	is.Equal(b.Backlog(2*time.Second, "desk", "c").OnTimeWait, 300*time.Millisecond)
	is.Equal(b.Backlog(2500*time.Millisecond, "desk", "a").OnTimeWait, 400*time.Millisecond) // its own word is too old
	is.Equal(b.Backlog(4*time.Second, "desk", "b"), admit.Backlog{})
}
