// Package deepcopy copies the state of a reducer, so that a decision can be made on the copy
// without an effect on the original. It copies by type and not field by field, so that a
// part that is added to the state later is copied, too.
package deepcopy

import (
	"fmt"
	"reflect"
	"unsafe"
)

// Of returns a copy of the value that original points to. The copy shares no memory with the
// original that either could change, apart from what pointers to the shared types lead to,
// which must not be changed by anybody. Pointers and maps that occur several times are
// copied once. It panics for values that cannot be copied: channels and unsafe pointers.
func Of[T any](original *T, shared ...reflect.Type) *T {
	c := copier{shared: map[reflect.Type]bool{}, plain: map[reflect.Type]bool{}, references: map[reflect.Type][]int{}, done: map[reference]reflect.Value{}}
	for _, t := range shared {
		c.shared[t] = true
	}
	out := new(T)
	c.done[reference{unsafe.Pointer(original), reflect.TypeOf(original)}] = reflect.ValueOf(out)
	c.copy(reflect.ValueOf(out).Elem(), reflect.ValueOf(original).Elem())
	for len(c.pending) > 0 {
		last := c.pending[len(c.pending)-1]
		c.pending = c.pending[:len(c.pending)-1]
		c.copy(last.dst, last.src)
	}
	return out
}

// reference identifies a pointer or map that was copied.
type reference struct {
	address unsafe.Pointer
	t       reflect.Type
}

// pendingCopy is a value that a pointer leads to and that is copied later: copying it at once
// would need a stack as deep as the state is large.
type pendingCopy struct{ dst, src reflect.Value }

type copier struct {
	pending []pendingCopy
	shared  map[reflect.Type]bool
	// plain caches whether values of a type hold no references.
	plain map[reflect.Type]bool
	// references caches the fields of a struct that hold references.
	references map[reflect.Type][]int
	done       map[reference]reflect.Value
}

// copy copies src into dst, which is zero. Both are addressable, and values of fields that
// are not exported are accessed through their address.
func (c *copier) copy(dst, src reflect.Value) {
	t := src.Type()
	if c.isPlain(t) || c.shared[t] {
		dst.Set(src)
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		c.copyPointer(dst, src)
	case reflect.Map:
		c.copyMap(dst, src)
	case reflect.Slice:
		c.copySlice(dst, src)
	case reflect.Array:
		for i := range src.Len() {
			c.copy(dst.Index(i), src.Index(i))
		}
	case reflect.Struct:
		dst.Set(src)
		for _, i := range c.referencesOf(t) {
			f := field(dst, i)
			f.SetZero()
			c.copy(f, field(src, i))
		}
	case reflect.Interface:
		if !src.IsNil() {
			dst.Set(c.copyOf(src.Elem()))
		}
	case reflect.Func:
		// A function has no state that can be seen; those of the reducer's options have none.
		dst.Set(src)
	default:
		panic(fmt.Sprintf("deepcopy: cannot copy a value of type %v", t))
	}
}

// copyOf returns a copy of a value that need not be addressable.
func (c *copier) copyOf(src reflect.Value) reflect.Value {
	addressable := reflect.New(src.Type()).Elem()
	addressable.Set(src)
	out := reflect.New(src.Type()).Elem()
	c.copy(out, addressable)
	return out
}

func (c *copier) copyPointer(dst, src reflect.Value) {
	if !src.IsNil() {
		dst.Set(c.copied(src))
	}
}

// copied returns the copy of a pointer that is not nil.
func (c *copier) copied(src reflect.Value) reflect.Value {
	if c.shared[src.Type()] {
		return src
	}
	ref := reference{src.UnsafePointer(), src.Type()}
	if known, ok := c.done[ref]; ok {
		return known
	}
	out := reflect.New(src.Type().Elem())
	c.done[ref] = out
	c.pending = append(c.pending, pendingCopy{out.Elem(), src.Elem()})
	return out
}

func (c *copier) copyMap(dst, src reflect.Value) {
	if src.IsNil() {
		return
	}
	ref := reference{src.UnsafePointer(), src.Type()}
	if known, ok := c.done[ref]; ok {
		dst.Set(known)
		return
	}
	out := reflect.MakeMapWithSize(src.Type(), src.Len())
	c.done[ref] = out
	dst.Set(out)
	for entries := src.MapRange(); entries.Next(); {
		key, value := entries.Key(), entries.Value()
		if !c.isPlain(key.Type()) {
			key = c.copyOf(key)
		}
		switch {
		case c.isPlain(value.Type()):
		case value.Kind() == reflect.Pointer && !value.IsNil():
			value = c.copied(value)
		default:
			value = c.copyOf(value)
		}
		out.SetMapIndex(key, value)
	}
}

func (c *copier) copySlice(dst, src reflect.Value) {
	if src.IsNil() {
		return
	}
	dst.Set(reflect.MakeSlice(src.Type(), src.Len(), src.Len()))
	if c.isPlain(src.Type().Elem()) {
		reflect.Copy(dst, src)
		return
	}
	for i := range src.Len() {
		c.copy(dst.Index(i), src.Index(i))
	}
}

// field returns a field through its address, so that it can be read and set if it is not
// exported.
func field(v reflect.Value, i int) reflect.Value {
	f := v.Field(i)
	return reflect.NewAt(f.Type(), f.Addr().UnsafePointer()).Elem()
}

// referencesOf returns the fields of a struct that hold references.
func (c *copier) referencesOf(t reflect.Type) []int {
	if known, ok := c.references[t]; ok {
		return known
	}
	var out []int
	for i := range t.NumField() {
		if !c.isPlain(t.Field(i).Type) {
			out = append(out, i)
		}
	}
	c.references[t] = out
	return out
}

// isPlain reports whether values of a type hold no references to memory that can change.
func (c *copier) isPlain(t reflect.Type) bool {
	if known, ok := c.plain[t]; ok {
		return known
	}
	plain := false
	switch t.Kind() {
	case reflect.Array:
		plain = c.isPlain(t.Elem())
	case reflect.Struct:
		plain = true
		for i := range t.NumField() {
			plain = plain && c.isPlain(t.Field(i).Type)
		}
	case reflect.Pointer, reflect.Map, reflect.Slice, reflect.Interface, reflect.Func, reflect.Chan, reflect.UnsafePointer:
	default:
		plain = true
	}
	c.plain[t] = plain
	return plain
}
