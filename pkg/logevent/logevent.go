// Package logevent numbers the events that daemons log and holds their
// catalogue, from which docs/log-events.md is generated.
package logevent

import (
	"slices"
	"strconv"

	"github.com/apex/log"
)

// ID numbers a log event. Numbers are never reused.
type ID uint16

// Def describes one log event.
type Def struct {
	ID      ID
	Name    string
	Level   log.Level
	Meaning string
}

// Field is one key and value of a log line.
type Field struct {
	Key string
	Str string
	Num int64
	num bool
}

// Str returns a text field.
func Str[T ~string](key string, value T) Field { return Field{Key: key, Str: string(value)} }

// Int returns a number field.
func Int[T ~int | ~int64 | ~uint64 | ~uint32 | ~uint8 | ~int32](key string, value T) Field {
	return Field{Key: key, Num: int64(value), num: true}
}

// Value returns the field's value as text.
func (f Field) Value() string {
	if f.num {
		return strconv.FormatInt(f.Num, 10)
	}
	return f.Str
}

// Catalogue returns all log events in order of their numbers.
func Catalogue() []Def {
	all := slices.Concat(queryEvents, slotsEvents, membershipEvents, documentsEvents, runtimeEvents, daemonEvents, platformEvents, edgeEvents)
	slices.SortFunc(all, func(a, b Def) int { return int(a.ID) - int(b.ID) })
	return all
}

var byID = func() map[ID]Def {
	defs := make(map[ID]Def)
	for _, d := range Catalogue() {
		defs[d.ID] = d
	}
	return defs
}()

var byName = func() map[string]Def {
	defs := make(map[string]Def)
	for _, d := range Catalogue() {
		defs[d.Name] = d
	}
	return defs
}()

// ByName returns the definition of the event with the name.
func ByName(name string) (Def, bool) {
	d, ok := byName[name]
	return d, ok
}

// Lookup returns the definition of an event.
func Lookup(id ID) (Def, bool) {
	d, ok := byID[id]
	return d, ok
}
