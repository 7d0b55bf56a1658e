package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/discovery"
	"sassafrasward/core/route"
	"sassafrasward/io/dispatch"
	"sassafrasward/platform/standin"
)

// TestGoneTargetAfterRegrouping guards against queued pieces that go on to a target which is gone, because the
// group that queued them is one that the pool no longer has, and against pieces that are lost with the group.
func TestGoneTargetAfterRegrouping(t *testing.T) {
	t.Parallel()
	const (
		pieces = "pieces"
		// callTime is how long a target takes for a call, settleTime how long a call in progress may take.
		callTime   = 40 * time.Millisecond
		settleTime = 500 * time.Millisecond
	)
	zones := func(counts ...int) (list []string) {
		for i, n := range counts {
			for range n {
				list = append(list, string(rune('a'+i)))
			}
		}
		return list
	}
	for name, test := range map[string]struct {
		// zones has the zones of the targets, the first one of which leaves. added has those of targets
		// that come at the same time.
		zones, added []string
		empty        bool // the pool is no longer in the configuration
	}{
		"fewer than ten remain":          {zones: zones(5, 5)},
		"a zone loses its last target":   {zones: zones(1, 10)},
		"ten remain, and more come":      {zones: zones(5, 4), added: zones(2, 2)},
		"the zones stay":                 {zones: zones(6, 6)},
		"the pool leaves":                {zones: zones(3, 3), empty: true},
		"the pool leaves with its zones": {zones: zones(6, 6), empty: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var stops []*standin.Target
			newTarget := func(zone string) discovery.Target {
				id := fmt.Sprintf("i-%d", len(stops))
				s := standin.NewTarget(id, nil)
				handler := s.Config.Handler
				s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					time.Sleep(callTime)
					handler.ServeHTTP(w, r)
				})
				t.Cleanup(s.Stop)
				stops = append(stops, s)
				return discovery.Target{ID: id, Pool: pieces, Address: s.Address(), Zone: zone}
			}
			var targets []discovery.Target
			for _, zone := range test.zones {
				targets = append(targets, newTarget(zone))
			}
			d := newDispatcher(ctx, t, targets...)
			end := make(chan error, 1)
			go d.Run(ctx, end)
			var jobs []*dispatch.ActiveJob
			for n := range 200 {
				groups := d.Groups(pieces)
				job := dispatch.Job{Pool: pieces, Group: groups[n%len(groups)], Request: fmt.Sprintf("r%d", n), Pieces: 4, Key: "k", SoftDeadlineIn: 5 * time.Minute, DeadlineIn: 5 * time.Minute}
				a, _, ok := d.Submit(job)
				for tries := 0; tries < 1000 && !ok; tries++ { // on a busy machine the targets count as slow
					time.Sleep(10 * time.Millisecond)
					a, _, ok = d.Submit(job)
				}
				is.True(ok)
				jobs = append(jobs, a)
			}
			time.Sleep(3 * callTime) // calls are in progress
			gone := stops[0]
			rest := slices.Clone(targets[1:])
			for _, zone := range test.added {
				rest = append(rest, newTarget(zone))
			}
			table := newTable(ctx, t)
			if test.empty {
				var err error
				table, err = route.NewTable(2, nil, nil, nil, route.Limits{})
				is.NoErr(err)
			}
			d.Configure(table, map[string][]discovery.Target{pieces: rest})
			time.Sleep(settleTime) // the call in progress has ended
			calls := len(gone.Received())
			for _, a := range jobs {
				handles, fault := d.Wait(ctx, a)
				is.Equal(fault, dispatch.FaultNone)
				is.Equal(len(handles), 4)
			}
			is.Equal(len(gone.Received()), calls)
			cancel()
			is.NoErr(<-end)
		})
	}
}
