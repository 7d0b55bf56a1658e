package fairqueue

// items is a heap of the items of a flow by order.
type items[T any] []item[T]

func (h items[T]) Len() int { return len(h) }

func (h items[T]) Less(i, j int) bool {
	if h[i].order != h[j].order {
		return h[i].order < h[j].order
	}
	return h[i].sequence < h[j].sequence
}

func (h items[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *items[T]) Push(x any) { *h = append(*h, x.(item[T])) }

func (h *items[T]) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = item[T]{}
	*h = (*h)[:last]
	return it
}

// actives is a heap of flows by tag. Each flow knows its index.
type actives[K comparable, T any] []*flow[K, T]

func (h actives[K, T]) Len() int { return len(h) }

func (h actives[K, T]) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].sequence < h[j].sequence
}

func (h actives[K, T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *actives[K, T]) Push(x any) {
	f := x.(*flow[K, T])
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *actives[K, T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}
