package fairqueue_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/fairqueue"
)

// add pushes n items of cost 1 that carry the name of their flow.
func add(q *fairqueue.Queue[string, string], flow string, weight float64, n int) {
	for range n {
		q.Push(flow, weight, 0, 1, flow)
	}
}

func pop(q *fairqueue.Queue[string, string], n int) (counts map[string]int) {
	counts = make(map[string]int)
	for range n {
		if v, ok := q.Pop(); ok {
			counts[v]++
		}
	}
	return counts
}

// TestShares guards against a flow that gets more or less than its weight while others
// wait, and against idle room while any flow waits.
func TestShares(t *testing.T) {
	for _, test := range []struct {
		name       string
		a, b       int
		weight     float64
		pops       int
		wantA      int
		wantB      int
		wantRemain int
	}{
		{"equal", 1000, 1000, 1, 100, 50, 50, 1900},
		{"weighted", 1000, 1000, 3, 100, 25, 75, 1900},
		{"ten times the items", 1000, 100, 1, 100, 50, 50, 1000},
		{"work-conserving", 100, 10, 1, 100, 90, 10, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			q := fairqueue.New[string, string]()
			add(q, "a", 1, test.a)
			add(q, "b", test.weight, test.b)
			counts := pop(q, test.pops)
			is.Equal(counts["a"], test.wantA)
			is.Equal(counts["b"], test.wantB)
			is.Equal(q.Len(), test.wantRemain)
			is.Equal(q.Cost(), float64(test.wantRemain))
		})
	}
}

// TestReturn guards against credit for a pause: a flow that comes back would otherwise
// hold up all others for as long as it was away.
func TestReturn(t *testing.T) {
	is := is.New(t)
	q := fairqueue.New[string, string]()
	add(q, "b", 1, 1)
	add(q, "a", 1, 200)
	pop(q, 101)
	add(q, "b", 1, 100)
	counts := pop(q, 50)
	is.True(counts["a"] >= 24 && counts["b"] >= 24)
}

// TestOrder guards against items that leave in another order than their deadlines, and
// against one flow's items overtaking by deadline those of another.
func TestOrder(t *testing.T) {
	is := is.New(t)
	q := fairqueue.New[string, int]()
	for i, deadline := range []time.Duration{3, 1, 2, 1} {
		q.Push("a", 1, deadline, 1, i)
	}
	for _, want := range []int{1, 3, 2, 0} {
		got, _ := q.Pop()
		is.Equal(got, want)
	}
}

// TestAhead guards against a wait estimate that counts work which a new item would not
// wait for: another flow's backlog, and later deadlines.
func TestAhead(t *testing.T) {
	is := is.New(t)
	q := fairqueue.New[string, string]()
	add(q, "a", 1, 100)
	is.Equal(q.CostAhead("b", 1, 0), 0.0)   // first of its flow
	is.Equal(q.CostAhead("a", 1, 0), 100.0) // behind its own
	is.Equal(q.CostAhead("a", 1, -1), 0.0)  // an earlier deadline
	q.Push("b", 1, 0, 1, "b")
	is.Equal(q.CostAhead("b", 1, 0), 2.0) // one of its own and one of the other
	is.True(q.ExceedsShare("a"))
	is.True(!q.ExceedsShare("b"))
}

// TestRemove guards against lost or doubled items when calls are dropped or evicted from
// the middle of the queue.
func TestRemove(t *testing.T) {
	is := is.New(t)
	q := fairqueue.New[string, int]()
	for i := range 30 {
		q.Push([]string{"a", "b", "c"}[i%3], 1, time.Duration(30-i), 1, i)
	}
	is.Equal(len(q.RemoveFunc(func(i int) bool { return i%3 == 0 || i%2 == 0 })), 20)
	q.Push("b", 1, 99, 5, 100)
	_, ok := q.Evict("b")
	is.True(!ok) // the flow itself has the most
	v, ok := q.Evict("c")
	is.True(ok && v == 100) // the latest deadline of the largest flow
	seen := make(map[int]bool)
	for q.Len() > 0 {
		v, _ := q.Pop()
		is.True(!seen[v] && v%2 == 1 && v%3 != 0)
		seen[v] = true
	}
	is.Equal(len(seen), 10)
	is.Equal(q.Cost(), 0.0)
}
