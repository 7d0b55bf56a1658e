package sortedmap_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/core/sortedmap"
)

// TestModel guards against keys and values that become inconsistent, and against an iteration out
// of key order. It compares random changes with those of a plain map.
func TestModel(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	sorted, model := sortedmap.New[int, int](), make(map[int]int)
	for i := range 5_000 {
		k := random.IntN(50)
		if random.IntN(3) == 0 {
			sorted.Delete(k)
			delete(model, k)
		} else {
			sorted.Put(k, i)
			model[k] = i
		}
		v, ok := sorted.Get(k)
		want, has := model[k]
		is.Equal(ok, has)
		is.Equal(v, want)
		is.Equal(sorted.Len(), len(model))
	}
	is.Equal(sorted.Keys(), slices.Sorted(maps.Keys(model)))
	var order []int
	for k, v := range sorted.All() {
		order = append(order, k)
		is.Equal(v, model[k])
	}
	is.Equal(order, sorted.Keys())
}

// TestKeys guards against a caller that changes the map through the returned keys, and against an
// iteration that continues after a break.
func TestKeys(t *testing.T) {
	is := is.New(t)
	sorted := sortedmap.New[string, int]()
	sorted.Put("b", 2)
	sorted.Put("a", 1)
	keys := sorted.Keys()
	keys[0] = "z"
	is.Equal(sorted.Keys(), []string{"a", "b"})
	n := 0
	for range sorted.All() {
		n++
		break
	}
	is.Equal(n, 1)
	_, ok := sorted.Get("z")
	is.True(!ok)
}
