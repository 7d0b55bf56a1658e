package fairqueue

import (
	"container/heap"
	"time"
)

// Queue is a weighted fair queue. Use New to create one; the zero value is not usable.
type Queue[K comparable, T any] struct {
	flows map[K]*flow[K, T]
	// active is a heap of the flows that have items, by start tag.
	active      flowHeap[K, T]
	virtualTime float64
	len         int
	cost        float64
	// sequence numbers the pushes. It breaks ties, so that the order is deterministic.
	sequence uint64
}

// flow holds the items of one key.
type flow[K comparable, T any] struct {
	key    K
	weight float64
	// startTag is the virtual start time of the next item.
	startTag float64
	// cost is the total cost of the items.
	cost  float64
	items itemHeap[T]
	// sequence is the number of the push that made the flow active. It breaks ties between
	// equal start tags.
	sequence uint64
	// index is the position of the flow in the heap of active flows.
	index int
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

// Cost returns the total cost of all items.
func (q *Queue[K, T]) Cost() float64 { return q.cost }

// Push adds an item to the flow of a key and sets the weight of the flow, which must be
// greater than 0. Within the flow, the item with the least order is dequeued first.
func (q *Queue[K, T]) Push(k K, weight float64, order time.Duration, cost float64, v T) {
	q.sequence++
	f, ok := q.flows[k]
	if !ok {
		f = &flow[K, T]{key: k, startTag: q.virtualTime}
		q.flows[k] = f
	}
	f.weight = weight
	heap.Push(&f.items, item[T]{value: v, order: order, cost: cost, sequence: q.sequence})
	f.cost += cost
	q.cost += cost
	q.len++
	if len(f.items) == 1 {
		f.startTag = max(f.startTag, q.virtualTime)
		f.sequence = q.sequence
		heap.Push(&q.active, f)
	}
}

// Pop removes and returns the next item.
func (q *Queue[K, T]) Pop() (v T, ok bool) {
	if len(q.active) == 0 {
		return v, false
	}
	f := q.active[0]
	it := heap.Pop(&f.items).(item[T])
	q.virtualTime = f.startTag
	f.startTag += it.cost / f.weight
	q.subtract(f, it.cost)
	if len(f.items) == 0 {
		heap.Pop(&q.active)
	} else {
		heap.Fix(&q.active, 0)
	}
	q.dropIdleFlows()
	return it.value, true
}

// CostAhead returns the cost of the items that would be dequeued before a new item of the key
// with the given weight and order.
func (q *Queue[K, T]) CostAhead(k K, weight float64, order time.Duration) (cost float64) {
	tag := q.virtualTime
	if f, ok := q.flows[k]; ok {
		tag = max(tag, f.startTag)
		for _, it := range f.items {
			if it.order <= order {
				cost += it.cost
			}
		}
		tag += cost / weight
	}
	for _, f := range q.active {
		if f.key != k && f.startTag < tag {
			cost += min(f.cost, (tag-f.startTag)*f.weight)
		}
	}
	return cost
}

// ExceedsShare reports whether the key's fraction of the queued cost is greater than its
// fraction of the weights of all flows with items.
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

// Evict removes and returns the item with the greatest order from the flow with the greatest
// cost per weight. It reports false if that flow is the one of the key.
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
	q.subtract(worst, it.cost)
	if len(worst.items) == 0 {
		heap.Remove(&q.active, worst.index)
	}
	return it.value, true
}

// RemoveFunc removes and returns the items for which drop returns true, in a deterministic
// order.
func (q *Queue[K, T]) RemoveFunc(drop func(T) bool) (removed []T) {
	for i := 0; i < len(q.active); {
		f := q.active[i]
		kept := f.items[:0]
		for _, it := range f.items {
			if drop(it.value) {
				removed = append(removed, it.value)
				q.subtract(f, it.cost)
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
	q.dropIdleFlows()
	return removed
}

// subtract updates the lengths and costs for an item that was removed from a flow.
func (q *Queue[K, T]) subtract(f *flow[K, T], cost float64) {
	f.cost -= cost
	q.cost -= cost
	q.len--
	if len(f.items) == 0 {
		f.cost = 0
	}
}

// dropIdleFlows deletes the flows whose start tag does not exceed the virtual time, once the
// queue is empty. The others keep their start tag, so that they cannot get more than their
// share by becoming idle.
func (q *Queue[K, T]) dropIdleFlows() {
	if q.len > 0 {
		return
	}
	q.cost = 0
	for k, f := range q.flows {
		if f.startTag <= q.virtualTime {
			delete(q.flows, k)
		}
	}
}
