// Package strictjson decodes JSON documents so that all readers must agree on
// their meaning. encoding/json alone accepts doubled keys, keys in another case,
// unknown keys, invalid UTF-8 and trailing data.
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

// maxDepth bounds the nesting of a document; those of this project nest four
// levels.
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

// level is an open object or array; keys is nil in an array. expectsKey is true
// in an object whose next token is a key.
type level struct {
	keys       map[string]bool
	expectsKey bool
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
		if open, err = checkToken(open, token); err != nil {
			return err
		}
	}
}

func checkToken(open []level, token json.Token) ([]level, error) {
	if len(open) > 0 && open[len(open)-1].expectsKey {
		if key, ok := token.(string); ok {
			return open, open[len(open)-1].addKey(key)
		}
	}
	switch token {
	case json.Delim('{'):
		open = append(open, level{keys: map[string]bool{}, expectsKey: true})
	case json.Delim('['):
		open = append(open, level{})
	case json.Delim('}'), json.Delim(']'):
		open = afterValue(open[:len(open)-1])
	default:
		open = afterValue(open)
	}
	if len(open) > maxDepth {
		return open, fmt.Errorf("nested deeper than %d levels", maxDepth)
	}
	return open, nil
}

func afterValue(open []level) []level {
	if n := len(open); n > 0 && open[n-1].keys != nil {
		open[n-1].expectsKey = true
	}
	return open
}

func (l *level) addKey(key string) error {
	if key != strings.ToLower(key) {
		return fmt.Errorf("key %q is not in lower case", key)
	}
	if l.keys[key] {
		return fmt.Errorf("key %q is given twice", key)
	}
	l.keys[key] = true
	l.expectsKey = false
	return nil
}
