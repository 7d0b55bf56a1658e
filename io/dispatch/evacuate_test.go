package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/discovery"
	"sassafrasward/io/dispatch"
	"sassafrasward/platform/standin"
)

// TestEvacuatedZone guards against queued pieces that go on to an evacuated zone or wait there until they are late,
// in a pool that is dispatched per zone and in one that is not, and against a zone that stays unused afterwards.
func TestEvacuatedZone(t *testing.T) {
	t.Parallel()
	const (
		// callTime is how long a target takes for a call, settleTime how long a call in progress may take.
		callTime   = 40 * time.Millisecond
		settleTime = 500 * time.Millisecond
	)
	for name, test := range map[string]struct {
		zones     string // one letter per target
		evacuated string
		allowed   []string // the zones of the jobs
		fault     dispatch.Fault
	}{
		"one group":              {zones: "aaabbb", evacuated: "a"},
		"zone groups":            {zones: "aaaaaabbbbbb", evacuated: "a"},
		"all of the jobs' zones": {zones: "aabbcc", evacuated: "ab", allowed: []string{"a", "b"}, fault: dispatch.FaultLate},
		"all of small":           {zones: "aabb", evacuated: "ab", fault: dispatch.FaultLate},
		"all of large":           {zones: "aaaaaabbbbbb", evacuated: "ab", fault: dispatch.FaultLate},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var stops []*standin.Target
			var targets []discovery.Target
			for i, zone := range test.zones {
				id := fmt.Sprintf("i-%d", i)
				s := standin.NewTarget(id, nil)
				handler := s.Config.Handler
				s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					time.Sleep(callTime)
					handler.ServeHTTP(w, r)
				})
				t.Cleanup(s.Stop)
				stops = append(stops, s)
				targets = append(targets, discovery.Target{ID: id, Pool: "pieces", Address: s.Address(), Zone: string(zone)})
			}
			d := newDispatcher(ctx, t, targets...)
			end := make(chan error, 1)
			go d.Run(ctx, end)
			submit := func(n int) (a *dispatch.ActiveJob, ok bool) {
				groups := d.Groups("pieces")
				a, _, ok = d.Submit(dispatch.Job{
					Pool: "pieces", Group: groups[n%len(groups)], Request: fmt.Sprintf("r%d", n), Pieces: 4, Key: "k", SoftDeadlineIn: 5 * time.Minute, DeadlineIn: 5 * time.Minute, Zones: test.allowed,
				})
				return a, ok
			}
			var jobs []*dispatch.ActiveJob
			for n := range 200 {
				a, ok := submit(n)
				for tries := 0; tries < 1000 && !ok; tries++ { // on a busy machine the targets count as slow
					time.Sleep(10 * time.Millisecond)
					a, ok = submit(n)
				}
				is.True(ok)
				jobs = append(jobs, a)
			}
			time.Sleep(3 * callTime) // calls are in progress
			received := func() (calls int) {
				for i, s := range stops {
					if strings.Contains(test.evacuated, targets[i].Zone) {
						calls += len(s.Received())
					}
				}
				return calls
			}
			evacuate := func(evacuated bool) {
				list := make([]discovery.Target, 0, len(targets))
				for _, target := range targets {
					target.Evacuated = evacuated && strings.Contains(test.evacuated, target.Zone)
					list = append(list, target)
				}
				d.Configure(newTable(ctx, t), map[string][]discovery.Target{"pieces": list})
			}
			evacuate(true)
			time.Sleep(settleTime) // the calls in progress have ended
			calls := received()
			late := 0
			for _, a := range jobs {
				handles, fault := d.Wait(ctx, a)
				if fault != dispatch.FaultNone {
					is.Equal(fault, test.fault)
					late++
				} else {
					is.Equal(len(handles), 4) // also the work that ran in the evacuated zone
				}
			}
			is.Equal(late > 0, test.fault != dispatch.FaultNone)
			if test.fault != dispatch.FaultNone {
				_, ok := submit(1000)
				is.True(!ok) // refused at once
			}
			is.Equal(received(), calls)
			evacuate(false)
			for n := 0; n < 1000 && received() == calls; n++ {
				a, ok := submit(2000 + n)
				if ok {
					_, fault := d.Wait(ctx, a)
					is.Equal(fault, dispatch.FaultNone)
				}
				time.Sleep(time.Millisecond)
			}
			is.True(received() > calls)
			cancel()
			is.NoErr(<-end)
		})
	}
}
