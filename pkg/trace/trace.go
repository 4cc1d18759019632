// Package trace records the events that a daemon's core handles, reads them back
// and replays them. A trace is a gzip stream of gob values: a header with the
// configuration of the core, then one value per step. A step holds its event and
// a hash of its effects, so that a replay can check without other data whether
// the core still returns the same effects.
package trace

import (
	"compress/gzip"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core"
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// ErrInvalid means that a trace is damaged, has another format or was cut off,
// for example because the process that wrote it was killed.
var ErrInvalid = errors.New("trace: invalid or cut off")

// flushInterval is the time between flushes, measured by the events' clock. It
// bounds the events that are lost when the process is killed.
const flushInterval = time.Second

// formatName identifies the format in the header of a trace. A change of the
// format needs a new name.
const formatName = "pistachiousher trace 1"

// header is the first value of a trace.
type header struct {
	Format string
	Config core.Config
}

// Step is one recorded step of the core.
type Step struct {
	Event event.Event
	// Effects is the number of effects and Hash the result of the function Hash
	// for them.
	Effects int
	Hash    uint64
}

func init() {
	for _, body := range []event.Body{
		event.QueryArrived{}, event.QueryAbandoned{}, event.LookupArrived{}, event.ForwardAnswered{},
		event.ExecuteArrived{}, event.CancelArrived{}, event.ExecuteGone{}, event.SubResultArrived{}, event.ExecuteEnded{},
		event.BackendAnswered{}, event.BackendReleased{}, event.BackendStatus{},
		event.HeartbeatArrived{}, event.HeartbeatAnswered{}, event.HeartbeatFailed{},
		event.ExchangeArrived{}, event.ExchangeAnswered{}, event.HandoverArrived{}, event.HandoverAnswered{},
		event.DocumentRequested{}, event.DocumentArrived{}, event.DocumentFailed{},
		event.VMListRead{}, event.EpochWritten{}, event.DocumentConfirmed{},
		event.Started{}, event.Tick{}, event.StopRequested{},
	} {
		gob.Register(body)
	}
}

// Writer records steps. It implements runtime.Recorder and must be used from
// one goroutine.
type Writer struct {
	zip       *gzip.Writer
	gob       *gob.Encoder
	lastFlush model.Time
	err       error
}

// NewWriter returns a Writer that writes to w the steps of a core with the
// configuration cfg.
func NewWriter(w io.Writer, cfg core.Config) *Writer {
	zip := gzip.NewWriter(w)
	out := &Writer{zip: zip, gob: gob.NewEncoder(zip)}
	out.err = out.gob.Encode(header{Format: formatName, Config: cfg})
	return out
}

// Record writes one step. After the first error it writes no more steps; Err and
// Close return the error.
func (w *Writer) Record(e event.Event, effects []effect.Effect) {
	if w.err != nil {
		return
	}
	w.err = w.gob.Encode(Step{Event: e, Effects: len(effects), Hash: Hash(effects)})
	if w.err == nil && e.Now.Sub(w.lastFlush) >= flushInterval {
		w.lastFlush = e.Now
		w.err = w.zip.Flush()
	}
}

// Err returns the first error of NewWriter or Record.
func (w *Writer) Err() error { return w.err }

// Close ends the trace. It does not close the underlying writer.
func (w *Writer) Close() error {
	err := errors.Join(w.err, w.zip.Close())
	if err != nil {
		return fmt.Errorf("trace: write: %w", err)
	}
	return nil
}

// Reader reads a trace.
type Reader struct{ gob *gob.Decoder }

// NewReader returns a Reader of the trace in r, and the configuration of the
// recorded core. Its errors wrap ErrInvalid.
func NewReader(r io.Reader) (*Reader, core.Config, error) {
	zip, err := gzip.NewReader(r)
	if err != nil {
		return nil, core.Config{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	in := &Reader{gob: gob.NewDecoder(zip)}
	var h header
	if err := in.gob.Decode(&h); err != nil {
		return nil, core.Config{}, fmt.Errorf("%w: header: %w", ErrInvalid, err)
	}
	if h.Format != formatName {
		return nil, core.Config{}, fmt.Errorf("%w: format %q is not %q", ErrInvalid, h.Format, formatName)
	}
	return in, h.Config, nil
}

// Next returns the next step, io.EOF at the end of a complete trace, or an error
// that wraps ErrInvalid.
func (r *Reader) Next() (Step, error) {
	var s Step
	err := r.gob.Decode(&s)
	if err == io.EOF {
		return Step{}, err
	}
	if err != nil {
		return Step{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	rebuildIndex(s.Event.Body)
	return s, nil
}

// rebuildIndex builds the lookup tables of a decoded bundle, which gob does not
// write.
func rebuildIndex(body event.Body) {
	if d, ok := body.(event.DocumentArrived); ok && d.Document.Bundle != nil {
		d.Document.Bundle.Index()
	}
}

// Core is the part of the reducer that a replay needs.
type Core interface {
	Step(event.Event) []effect.Effect
}

// MismatchError reports the first step at which a replay gave other effects than
// the recorded run.
type MismatchError struct {
	// Step counts from 0.
	Step int
	Body event.Body
	// Want is the recorded number of effects; Got holds the effects of the
	// replay.
	Want int
	Got  []effect.Effect
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("trace: step %d, %T: recorded %d effects, replay gave %d different ones", e.Step, e.Body, e.Want, len(e.Got))
}

// Replay feeds the events of a trace to a new core and compares the effects of
// each step. It returns the number of steps that were equal. Its errors are a
// *MismatchError or wrap ErrInvalid.
func Replay(c Core, r *Reader) (int, error) {
	for n := 0; ; n++ {
		s, err := r.Next()
		if err == io.EOF {
			return n, nil
		}
		if err != nil {
			return n, err
		}
		got := c.Step(s.Event)
		if len(got) != s.Effects || Hash(got) != s.Hash {
			return n, &MismatchError{Step: n, Body: s.Event.Body, Want: s.Effects, Got: got}
		}
	}
}
