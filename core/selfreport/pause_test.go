package selfreport_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/selfreport"
)

// TestPause guards against requests during a pause, against many at its end, and against targets that
// stay unused because the first request after a pause got no answer.
func TestPause(t *testing.T) {
	is := is.New(t)
	table, target := selfreport.New("a"), target("t", 1)
	wait := func(now time.Duration) time.Duration { return table.Wait(now, target, selfreport.AllHosts) }
	table.Observe(0, target, selfreport.Statement{Wait: 2 * time.Second})
	table.Observe(time.Second, target, selfreport.Statement{Wait: 100 * time.Millisecond}) // no shorter one
	table.Observe(time.Second, target, selfreport.Statement{})                             // to a request from before
	end := time.Second + wait(time.Second)
	is.True(end > 2*time.Second && end <= 2500*time.Millisecond)
	is.Equal(table.Paused(time.Second, target), end-time.Second)
	is.Equal(wait(end), time.Duration(0))
	table.Take(end, target, selfreport.AllHosts)
	is.True(wait(end) > 0) // one request first
	is.Equal(table.Paused(end, target), time.Duration(0))
	is.Equal(wait(end+time.Second), time.Duration(0)) // which got no answer
	table.Take(end+time.Second, target, selfreport.AllHosts)
	table.Observe(end+time.Second, target, selfreport.Statement{})
	is.Equal(wait(end+time.Second), time.Duration(0))
	for range 10 {
		table.Take(end+time.Second, target, selfreport.AllHosts)
		is.Equal(wait(end+time.Second), time.Duration(0))
	}
}

// TestUseAfterPause guards against a target that hosts use again only long after its pause: each sends a
// request within a quarter of the pause, at most a second, and a steady stream of requests once that is
// answered.
func TestUseAfterPause(t *testing.T) {
	for _, senders := range []selfreport.Senders{selfreport.AllHosts, selfreport.OneHost} {
		for _, pause := range []time.Duration{200 * time.Millisecond, 3 * time.Second, time.Minute} {
			is := is.New(t)
			table, target, sent := selfreport.New("a"), target("t", 1), 0
			table.Observe(0, target, selfreport.Statement{Wait: pause})
			latest := pause + min(pause/4, time.Second)
			for now := pause; now <= latest+time.Millisecond; now += time.Millisecond {
				if table.Wait(now, target, senders) == 0 {
					table.Take(now, target, senders)
					table.Observe(now, target, selfreport.Statement{})
					sent++
				}
			}
			is.True(sent > 0)
			for now := latest + time.Millisecond; now < latest+time.Second; now += time.Millisecond {
				is.Equal(table.Wait(now, target, senders), time.Duration(0))
			}
		}
	}
}

// TestEndsOfPausesDiffer guards against hosts that all return to a target at the same moment.
func TestEndsOfPausesDiffer(t *testing.T) {
	is := is.New(t)
	first, last := time.Hour, time.Duration(0)
	for i := range 20 {
		table := selfreport.New(fmt.Sprintf("h%d", i))
		table.Observe(0, target("t", 1), selfreport.Statement{Wait: 4 * time.Second})
		wait := table.Wait(0, target("t", 1), selfreport.AllHosts)
		first, last = min(first, wait), max(last, wait)
	}
	is.True(first >= 4*time.Second)
	is.True(last <= 5*time.Second)
	is.True(last-first > 500*time.Millisecond)
}

// TestNoSendIsForbidden guards against requests that a statement forbids, over random schedules of
// statements, restarts of the target and requests on several hosts.
func TestNoSendIsForbidden(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 3))
			tables := []*selfreport.Table{selfreport.New("a"), selfreport.New("b"), selfreport.New("c")}
			for _, table := range tables {
				table.SetHosts([]string{"a", "b", "c"})
			}
			current, leaving := target("t", 1), false
			pausedUntil := make(map[int]time.Duration)
			for now := time.Duration(0); now < time.Minute; now += time.Duration(random.Int64N(int64(100 * time.Millisecond))) {
				host := random.IntN(len(tables))
				table := tables[host]
				switch random.IntN(400) {
				case 0:
					current.StartID, leaving = current.StartID+1, false
					clear(pausedUntil)
				case 1:
					leaving = true
				}
				if table.Wait(now, current, selfreport.AllHosts) > 0 {
					continue
				}
				is.True(now >= pausedUntil[host])
				table.Take(now, current, selfreport.AllHosts)
				s := selfreport.Statement{Leaving: leaving}
				if random.IntN(20) == 0 {
					s.Wait = time.Duration(random.Int64N(int64(3 * time.Second)))
					pausedUntil[host] = max(pausedUntil[host], now+s.Wait)
				}
				table.Observe(now, current, s)
				for _, record := range table.TakeRecords() {
					for _, other := range tables {
						other.Merge(now, current, record)
					}
				}
				if leaving {
					for _, other := range tables {
						is.Equal(other.Wait(now, current, selfreport.AllHosts), selfreport.Never)
					}
				}
			}
		})
	}
}
