package sortedmap

import (
	"cmp"
	"iter"
	"slices"
)

// Map is a map that iterates in key order. The zero value is not usable; call New.
type Map[K cmp.Ordered, V any] struct {
	// keys is sorted and holds exactly the keys of values.
	keys   []K
	values map[K]V
}

// New returns an empty map.
func New[K cmp.Ordered, V any]() *Map[K, V] {
	return &Map[K, V]{values: make(map[K]V)}
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() int { return len(m.keys) }

// Get returns the value for key k.
func (m *Map[K, V]) Get(k K) (v V, ok bool) {
	v, ok = m.values[k]
	return v, ok
}

// Put adds or replaces the value for key k.
func (m *Map[K, V]) Put(k K, v V) {
	if _, ok := m.values[k]; !ok {
		i, _ := slices.BinarySearch(m.keys, k)
		m.keys = slices.Insert(m.keys, i, k)
	}
	m.values[k] = v
}

// Delete removes the entry with key k.
func (m *Map[K, V]) Delete(k K) {
	if _, ok := m.values[k]; !ok {
		return
	}
	i, _ := slices.BinarySearch(m.keys, k)
	m.keys = slices.Delete(m.keys, i, i+1)
	delete(m.values, k)
}

// Keys returns the sorted keys.
func (m *Map[K, V]) Keys() []K { return slices.Clone(m.keys) }

// All iterates in key order. The map must not change during the iteration.
func (m *Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range m.keys {
			if !yield(k, m.values[k]) {
				return
			}
		}
	}
}
