package sortedmap

import (
	"cmp"
	"iter"
	"slices"
)

// Table is a set of entities ordered by key. The zero value is not usable; call New.
type Map[K cmp.Ordered, V any] struct {
	// keys is sorted and has exactly the keys of rows.
	keys []K
	rows map[K]V
}

// New returns an empty table.
func New[K cmp.Ordered, V any]() *Map[K, V] {
	return &Map[K, V]{rows: make(map[K]V)}
}

// Len returns the number of entities.
func (t *Map[K, V]) Len() int { return len(t.keys) }

// Get returns the entity with key k.
func (t *Map[K, V]) Get(k K) (v V, ok bool) {
	v, ok = t.rows[k]
	return v, ok
}

// Put adds or replaces the entity with key k.
func (t *Map[K, V]) Put(k K, v V) {
	if _, ok := t.rows[k]; !ok {
		i, _ := slices.BinarySearch(t.keys, k)
		t.keys = slices.Insert(t.keys, i, k)
	}
	t.rows[k] = v
}

// Delete removes the entity with key k.
func (t *Map[K, V]) Delete(k K) {
	if _, ok := t.rows[k]; !ok {
		return
	}
	i, _ := slices.BinarySearch(t.keys, k)
	t.keys = slices.Delete(t.keys, i, i+1)
	delete(t.rows, k)
}

// Keys returns the keys in order.
func (t *Map[K, V]) Keys() []K { return slices.Clone(t.keys) }

// All iterates in key order. The table must not change during the iteration.
func (t *Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range t.keys {
			if !yield(k, t.rows[k]) {
				return
			}
		}
	}
}
