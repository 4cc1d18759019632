// Package strictjson decodes JSON documents that must have one reading only.
// encoding/json alone accepts doubled keys, keys in another case, unknown keys,
// invalid UTF-8 and trailing data.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

// ErrInvalid is wrapped by every error of this package.
var ErrInvalid = errors.New("invalid JSON document")

// maxDepth bounds the nesting of a document; ours nest four levels.
const maxDepth = 64

// Decode decodes the single document in data into v. All keys must be in lower
// case, known to v and given once.
func Decode(data []byte, v any) error {
	if !utf8.Valid(data) {
		return fmt.Errorf("%w: not valid UTF-8", ErrInvalid)
	}
	if err := checkKeys(data); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("%w: data after the document", ErrInvalid)
	}
	return nil
}

// level is an open object or array. In an object, key says that the next token
// is a key.
type level struct {
	keys map[string]bool
	key  bool
}

func checkKeys(data []byte) error {
	d := json.NewDecoder(bytes.NewReader(data))
	var open []level
	for {
		token, err := d.Token()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if open, err = advance(open, token); err != nil {
			return err
		}
	}
}

func advance(open []level, token json.Token) ([]level, error) {
	if len(open) > 0 && open[len(open)-1].key {
		if key, ok := token.(string); ok {
			return open, open[len(open)-1].take(key)
		}
	}
	switch token {
	case json.Delim('{'):
		open = append(open, level{keys: map[string]bool{}, key: true})
	case json.Delim('['):
		open = append(open, level{})
	case json.Delim('}'), json.Delim(']'):
		open = valueEnded(open[:len(open)-1])
	default:
		open = valueEnded(open)
	}
	if len(open) > maxDepth {
		return open, fmt.Errorf("nested deeper than %d levels", maxDepth)
	}
	return open, nil
}

func valueEnded(open []level) []level {
	if n := len(open); n > 0 && open[n-1].keys != nil {
		open[n-1].key = true
	}
	return open
}

func (l *level) take(key string) error {
	if key != strings.ToLower(key) {
		return fmt.Errorf("key %q is not in lower case", key)
	}
	if l.keys[key] {
		return fmt.Errorf("key %q is given twice", key)
	}
	l.keys[key] = true
	l.key = false
	return nil
}
