package selfreport_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/discovery"
	"sassafrasward/core/selfreport"
)

// target returns a target with the start of its process.
func target(id string, startID int64) discovery.Target {
	return discovery.Target{ID: id, Pool: "p", StartID: startID}
}

// describe returns the fact and the value of each change.
func describe(changes []selfreport.Change) (list []string) {
	for _, c := range changes {
		list = append(list, c.Fact().String())
	}
	return list
}

// TestChanges guards against statements that are logged with each answer, and against changes that are
// not.
func TestChanges(t *testing.T) {
	is := is.New(t)
	table := selfreport.New("self")
	observe := func(s selfreport.Statement) []string { return describe(table.Observe(0, target("a", 1), s)) }
	is.Equal(len(observe(selfreport.Statement{})), 0)
	is.Equal(table.Len(), 0) // targets that state nothing take no memory
	is.Equal(observe(selfreport.Statement{Limited: true, Limit: 2}), []string{"limit"})
	is.Equal(len(observe(selfreport.Statement{Limited: true, Limit: 2.1})), 0)
	is.Equal(len(observe(selfreport.Statement{LimitUnreadable: true})), 0) // the limit stays
	is.Equal(observe(selfreport.Statement{Limited: true, Limit: 3}), []string{"limit"})
	is.Equal(observe(selfreport.Statement{Leaving: true, Limited: true, Limit: 3}), []string{"leaving"})
	is.Equal(observe(selfreport.Statement{Leaving: true, Wait: time.Second}), []string{"limit", "wait"}) // the limit ended
	table.Retain(map[string][]discovery.Target{"p": {target("a", 2)}})
	is.Equal(table.Len(), 0) // what was stated ends with the process
}

// TestLeaving guards against requests to a target that leaves because one of its answers is older or
// does not say so, and against a target that stays unused after a new start or a wrong statement.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	table := selfreport.New("a")
	wait := func(now time.Duration, startID int64) time.Duration {
		return table.Wait(now, target("a", startID), selfreport.AllHosts)
	}
	is.Equal(describe(table.Observe(0, target("a", 1), selfreport.Statement{Leaving: true})), []string{"leaving"})
	is.Equal(len(table.Observe(time.Second, target("a", 1), selfreport.Statement{})), 0)
	is.Equal(wait(time.Second, 1), selfreport.Never)
	is.Equal(wait(time.Second, 2), time.Duration(0)) // another process
	is.Equal(table.Rate(time.Second, target("a", 1), selfreport.AllHosts), 0.0)
	is.Equal(wait(5*time.Minute, 1), time.Duration(0)) // it has taken it back, or its process has ended
}

// TestOlderRecords guards against records of other hosts that arrive late and bring back what a target
// no longer states.
func TestOlderRecords(t *testing.T) {
	is := is.New(t)
	a, b := selfreport.New("a"), selfreport.New("b")
	a.Observe(0, target("t", 1), selfreport.Statement{Limited: true, Limit: 1})
	limited := a.TakeRecords()
	a.Observe(time.Second, target("t", 1), selfreport.Statement{})
	ended := a.TakeRecords()
	is.Equal([]int{len(limited), len(ended)}, []int{1, 1})
	is.Equal(describe(b.Merge(time.Second, target("t", 1), limited[0])), []string{"limit"})
	is.Equal(describe(b.Merge(time.Second, target("t", 1), ended[0])), []string{"limit"})
	is.Equal(len(b.Merge(time.Second, target("t", 1), limited[0])), 0)
	is.Equal(b.Wait(time.Second, target("t", 1), selfreport.AllHosts), time.Duration(0))
}
