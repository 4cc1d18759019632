package deepcopy

import (
	"math/rand/v2"
	"reflect"
	"testing"
)

type fixed struct{ n int }

type node struct {
	name   string
	next   *node
	byName map[string]*node
	list   []*node
	plain  []int
	array  [2]map[int]int
	any    any
	fixed  *fixed
	random *rand.Rand
	f      func() int
}

// Guards against copies that share memory with the original, lose cycles, or differ.
func TestOf(t *testing.T) {
	a := &node{name: "a", plain: []int{1, 2}, array: [2]map[int]int{{1: 2}}, fixed: &fixed{7}, random: rand.New(rand.NewPCG(1, 2)), f: func() int { return 3 }}
	b := &node{name: "b", next: a, any: map[string]int{"x": 1}}
	a.next, a.byName, a.list = b, map[string]*node{"a": a, "b": b}, []*node{b, a, b}
	a.any = b
	c := Of(a, reflect.TypeFor[*fixed]())
	switch {
	case c == a || c.next == b || c.next.next != c || c.byName["a"] != c || c.byName["b"] != c.next || c.list[0] != c.list[2] || c.any.(*node) != c.next:
		t.Error("the copy has other references than the original")
	case c.name != "a" || c.next.name != "b" || c.plain[1] != 2 || c.array[0][1] != 2 || c.f() != 3 || c.next.any.(map[string]int)["x"] != 1:
		t.Errorf("the copy differs: %+v", c)
	case c.fixed != a.fixed:
		t.Error("a shared type is copied")
	case c.random == a.random || c.random.Uint64() != a.random.Uint64():
		t.Error("the copy of a random number generator differs or is shared")
	}
	c.plain[0], c.array[0][1], c.next.any.(map[string]int)["x"] = 9, 9, 9
	delete(c.byName, "a")
	if a.plain[0] != 1 || a.array[0][1] != 2 || b.any.(map[string]int)["x"] != 1 || a.byName["a"] != a {
		t.Errorf("a change of the copy shows in the original: %+v", a)
	}
}

// Guards against a state with a channel, of which a copy would not be one.
func TestChannelsAreRefused(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("a channel was copied")
		}
	}()
	Of(&struct{ c chan int }{make(chan int)})
}
