package fairqueue

// itemHeap is a heap of the items of a flow by order.
type itemHeap[T any] []item[T]

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool {
	if h[i].order != h[j].order {
		return h[i].order < h[j].order
	}
	return h[i].sequence < h[j].sequence
}

func (h itemHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *itemHeap[T]) Push(x any) { *h = append(*h, x.(item[T])) }

func (h *itemHeap[T]) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = item[T]{}
	*h = (*h)[:last]
	return it
}

// flowHeap is a heap of flows by start tag. Each flow stores its index in the heap.
type flowHeap[K comparable, T any] []*flow[K, T]

func (h flowHeap[K, T]) Len() int { return len(h) }

func (h flowHeap[K, T]) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].sequence < h[j].sequence
}

func (h flowHeap[K, T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap[K, T]) Push(x any) {
	f := x.(*flow[K, T])
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap[K, T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}
