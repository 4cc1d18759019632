package trace

import (
	"encoding/binary"
	"fmt"
	"math"
	"reflect"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
)

// Hash returns a hash of the types and values of effects. It follows pointers,
// and a nil slice equals an empty one, since gob does not tell them apart.
func Hash(effects []effect.Effect) uint64 {
	h := hasher{d: xxhash.New()}
	h.number(uint64(len(effects)))
	for _, e := range effects {
		v := reflect.ValueOf(e)
		h.text(v.Type().String())
		h.value(v)
	}
	return h.d.Sum64()
}

type hasher struct {
	d   *xxhash.Digest
	buf [8]byte
}

func (h *hasher) number(n uint64) {
	binary.LittleEndian.PutUint64(h.buf[:], n)
	_, _ = h.d.Write(h.buf[:])
}

func (h *hasher) text(s string) {
	h.number(uint64(len(s)))
	_, _ = h.d.WriteString(s)
}

func (h *hasher) value(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			h.number(1)
		} else {
			h.number(0)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		h.number(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		h.number(v.Uint())
	case reflect.Float32, reflect.Float64:
		h.number(math.Float64bits(v.Float()))
	case reflect.String:
		h.text(v.String())
	case reflect.Slice, reflect.Array:
		h.slice(v)
	case reflect.Struct:
		for i := range v.NumField() {
			h.value(v.Field(i))
		}
	case reflect.Pointer, reflect.Interface:
		h.pointer(v)
	default:
		// A map has no order and a function no value: an effect must not hold
		// them.
		panic(fmt.Sprintf("trace: effect holds a %s", v.Type()))
	}
}

func (h *hasher) slice(v reflect.Value) {
	h.number(uint64(v.Len()))
	if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Uint8 {
		_, _ = h.d.Write(v.Bytes())
		return
	}
	for i := range v.Len() {
		h.value(v.Index(i))
	}
}

func (h *hasher) pointer(v reflect.Value) {
	if v.IsNil() {
		h.number(0)
		return
	}
	h.number(1)
	if v.Kind() == reflect.Interface {
		h.text(v.Elem().Type().String())
	}
	h.value(v.Elem())
}
