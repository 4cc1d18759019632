package trace

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/pistachiousher/pistachiousher/pkg/core/event"
)

// maxFuzzSteps bounds the steps read from one input, since a small gzip stream
// can expand to a great many.
const maxFuzzSteps = 10_000

// Guards against a damaged trace that makes the reader panic or gives an error
// other than ErrInvalid.
func FuzzReader(f *testing.F) {
	var whole bytes.Buffer
	w := NewWriter(&whole, testConfig)
	for _, b := range bodies() {
		w.Record(event.Event{Body: b}, nil)
	}
	if err := w.Close(); err != nil {
		f.Fatal(err)
	}
	f.Add(whole.Bytes())
	f.Add(whole.Bytes()[:whole.Len()/2])
	f.Add([]byte("no trace"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, _, err := NewReader(bytes.NewReader(data))
		if err != nil {
			if !errors.Is(err, ErrInvalid) {
				t.Fatalf("error %v", err)
			}
			return
		}
		for range maxFuzzSteps {
			if _, err := r.Next(); err != nil {
				if !errors.Is(err, io.EOF) && !errors.Is(err, ErrInvalid) {
					t.Fatalf("error %v", err)
				}
				return
			}
		}
	})
}
