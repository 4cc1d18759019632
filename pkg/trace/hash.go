package trace

import (
	"encoding/binary"
	"fmt"
	"math"
	"reflect"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
)

// Hash returns a hash of the types and values of effects. It follows pointers. A
// nil slice and an empty one have the same hash, since gob does not distinguish
// them.
func Hash(effects []effect.Effect) uint64 {
	h := hasher{digest: xxhash.New()}
	h.writeNumber(uint64(len(effects)))
	for _, e := range effects {
		v := reflect.ValueOf(e)
		h.writeText(v.Type().String())
		h.writeValue(v)
	}
	return h.digest.Sum64()
}

type hasher struct {
	digest *xxhash.Digest
	buf    [8]byte
}

func (h *hasher) writeNumber(n uint64) {
	binary.LittleEndian.PutUint64(h.buf[:], n)
	_, _ = h.digest.Write(h.buf[:])
}

func (h *hasher) writeText(s string) {
	h.writeNumber(uint64(len(s)))
	_, _ = h.digest.WriteString(s)
}

func (h *hasher) writeValue(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			h.writeNumber(1)
		} else {
			h.writeNumber(0)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		h.writeNumber(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		h.writeNumber(v.Uint())
	case reflect.Float32, reflect.Float64:
		h.writeNumber(math.Float64bits(v.Float()))
	case reflect.String:
		h.writeText(v.String())
	case reflect.Slice, reflect.Array:
		h.writeSlice(v)
	case reflect.Struct:
		for i := range v.NumField() {
			h.writeValue(v.Field(i))
		}
	case reflect.Pointer, reflect.Interface:
		h.writePointer(v)
	default:
		// Effects must not contain maps, whose order is undefined, or functions,
		// whose values cannot be compared.
		panic(fmt.Sprintf("trace: effect holds a %s", v.Type()))
	}
}

func (h *hasher) writeSlice(v reflect.Value) {
	h.writeNumber(uint64(v.Len()))
	if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Uint8 {
		_, _ = h.digest.Write(v.Bytes())
		return
	}
	for i := range v.Len() {
		h.writeValue(v.Index(i))
	}
}

func (h *hasher) writePointer(v reflect.Value) {
	if v.IsNil() {
		h.writeNumber(0)
		return
	}
	h.writeNumber(1)
	if v.Kind() == reflect.Interface {
		h.writeText(v.Elem().Type().String())
	}
	h.writeValue(v.Elem())
}
