package sortedmap_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/core/sortedmap"
)

// TestModel guards against keys and rows that come apart, and against an iteration out of
// key order, over random changes compared with a plain map.
func TestModel(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	tab, model := sortedmap.New[int, int](), make(map[int]int)
	for i := range 5_000 {
		k := random.IntN(50)
		if random.IntN(3) == 0 {
			tab.Delete(k)
			delete(model, k)
		} else {
			tab.Put(k, i)
			model[k] = i
		}
		v, ok := tab.Get(k)
		want, has := model[k]
		is.Equal(ok, has)
		is.Equal(v, want)
		is.Equal(tab.Len(), len(model))
	}
	is.Equal(tab.Keys(), slices.Sorted(maps.Keys(model)))
	var order []int
	for k, v := range tab.All() {
		order = append(order, k)
		is.Equal(v, model[k])
	}
	is.Equal(order, tab.Keys())
}

// TestKeys guards against a caller that changes the table through the returned keys, and
// against an iteration that goes on after its end.
func TestKeys(t *testing.T) {
	is := is.New(t)
	tab := sortedmap.New[string, int]()
	tab.Put("b", 2)
	tab.Put("a", 1)
	keys := tab.Keys()
	keys[0] = "z"
	is.Equal(tab.Keys(), []string{"a", "b"})
	n := 0
	for range tab.All() {
		n++
		break
	}
	is.Equal(n, 1)
	_, ok := tab.Get("z")
	is.True(!ok)
}
