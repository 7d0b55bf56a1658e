package fairqueue

import (
	"container/heap"
	"time"
)

// Queue is a fair queue of items. The zero value is not usable; call New.
type Queue[K comparable, T any] struct {
	flows map[K]*flow[K, T]
	// active is a heap by tag of the flows with items.
	active  actives[K, T]
	virtual float64
	len     int
	cost    float64
	// sequence breaks ties, so that equal runs decide the same.
	sequence uint64
}

// flow holds the items of one key.
type flow[K comparable, T any] struct {
	key    K
	weight float64
	// tag is the virtual start time of the next item.
	tag      float64
	cost     float64
	items    items[T]
	sequence uint64
	index    int
}

type item[T any] struct {
	value    T
	order    time.Duration
	cost     float64
	sequence uint64
}

// New returns an empty queue.
func New[K comparable, T any]() *Queue[K, T] {
	return &Queue[K, T]{flows: make(map[K]*flow[K, T])}
}

// Len returns the number of items.
func (q *Queue[K, T]) Len() int { return q.len }

// Cost returns the cost of all items.
func (q *Queue[K, T]) Cost() float64 { return q.cost }

// Push adds an item to the flow of a key with a weight above 0.
func (q *Queue[K, T]) Push(k K, weight float64, order time.Duration, cost float64, v T) {
	q.sequence++
	f, ok := q.flows[k]
	if !ok {
		f = &flow[K, T]{key: k, tag: q.virtual}
		q.flows[k] = f
	}
	f.weight = weight
	heap.Push(&f.items, item[T]{value: v, order: order, cost: cost, sequence: q.sequence})
	f.cost += cost
	q.cost += cost
	q.len++
	if len(f.items) == 1 {
		f.tag = max(f.tag, q.virtual)
		f.sequence = q.sequence
		heap.Push(&q.active, f)
	}
}

// Pop removes the next item.
func (q *Queue[K, T]) Pop() (v T, ok bool) {
	if len(q.active) == 0 {
		return v, false
	}
	f := q.active[0]
	it := heap.Pop(&f.items).(item[T])
	q.virtual = f.tag
	f.tag += it.cost / f.weight
	q.forget(f, it.cost)
	if len(f.items) == 0 {
		heap.Pop(&q.active)
	} else {
		heap.Fix(&q.active, 0)
	}
	q.reset()
	return it.value, true
}

// Ahead returns the cost of the items that leave before a new item of the key with the
// given order would, by share.
func (q *Queue[K, T]) CostAhead(k K, weight float64, order time.Duration) (cost float64) {
	tag := q.virtual
	if f, ok := q.flows[k]; ok {
		tag = max(tag, f.tag)
		for _, it := range f.items {
			if it.order <= order {
				cost += it.cost
			}
		}
		tag += cost / weight
	}
	for _, f := range q.active {
		if f.key != k && f.tag < tag {
			cost += min(f.cost, (tag-f.tag)*f.weight)
		}
	}
	return cost
}

// Over reports whether the key has more of the queued cost than its weight gives it.
func (q *Queue[K, T]) ExceedsShare(k K) bool {
	f, ok := q.flows[k]
	if !ok || len(q.active) < 2 {
		return false
	}
	weights := 0.0
	for _, a := range q.active {
		weights += a.weight
	}
	return f.cost*weights > q.cost*f.weight
}

// Evict removes the item with the greatest order of the flow with the greatest cost for
// its weight. It reports false if that flow is the one of the key.
func (q *Queue[K, T]) Evict(k K) (v T, ok bool) {
	var worst *flow[K, T]
	for _, f := range q.active {
		if worst == nil || f.cost*worst.weight > worst.cost*f.weight {
			worst = f
		}
	}
	if worst == nil || worst.key == k {
		return v, false
	}
	last := 0
	for i, it := range worst.items {
		if it.order > worst.items[last].order {
			last = i
		}
	}
	it := heap.Remove(&worst.items, last).(item[T])
	q.forget(worst, it.cost)
	if len(worst.items) == 0 {
		heap.Remove(&q.active, worst.index)
	}
	return it.value, true
}

// Remove removes and returns the items for which drop is true, in a stable order.
func (q *Queue[K, T]) RemoveFunc(drop func(T) bool) (removed []T) {
	for i := 0; i < len(q.active); {
		f := q.active[i]
		kept := f.items[:0]
		for _, it := range f.items {
			if drop(it.value) {
				removed = append(removed, it.value)
				q.forget(f, it.cost)
				continue
			}
			kept = append(kept, it)
		}
		if len(kept) < len(f.items) {
			clear(f.items[len(kept):])
			f.items = kept
			heap.Init(&f.items)
		}
		if len(kept) == 0 {
			last := len(q.active) - 1
			q.active.Swap(i, last)
			q.active = q.active[:last]
			continue
		}
		i++
	}
	heap.Init(&q.active)
	q.reset()
	return removed
}

// forget takes a removed item out of the sums.
func (q *Queue[K, T]) forget(f *flow[K, T], cost float64) {
	f.cost -= cost
	q.cost -= cost
	q.len--
	if len(f.items) == 0 {
		f.cost = 0
	}
}

// reset drops the state of idle flows once the queue is empty and no flow is owed time.
func (q *Queue[K, T]) reset() {
	if q.len > 0 {
		return
	}
	q.cost = 0
	for k, f := range q.flows {
		if f.tag <= q.virtual {
			delete(q.flows, k)
		}
	}
}
