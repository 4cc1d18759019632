// Package logwriter writes numbered log events. Code that logs an event never
// waits for the output.
package logwriter

import (
	"bufio"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	jsonhandler "github.com/apex/log/handlers/json"

	"github.com/pistachiousher/pistachiousher/pkg/logevent"
)

const (
	// defaultQueueSize is the number of lines that may wait to be written.
	defaultQueueSize = 8192
	// flushInterval is how long a line may stay in the buffer.
	flushInterval = 200 * time.Millisecond
	// drainTimeout bounds the time to write the last lines, so that a process
	// whose output is not read still ends within its time to stop.
	drainTimeout = 200 * time.Millisecond
	// bufferBytes is the size of the output buffer in bytes.
	bufferBytes = 64 << 10
)

// Writer writes log events in a goroutine of its own. When it falls behind,
// lines are dropped and counted, since the event loop must not wait for the
// output.
type Writer struct {
	lines chan line
	// output is what out writes to.
	output  io.Writer
	out     *bufio.Writer
	handler log.Handler
	level   log.Level
	dropped atomic.Uint64
	count   func(def logevent.Def)
}

type line struct {
	at     time.Time
	def    logevent.Def
	fields []logevent.Field
}

// New returns a writer of JSON lines to w, of level and above. count, if not
// nil, is called for every event of any level; it must be cheap and safe for
// concurrent use.
func New(w io.Writer, level log.Level, count func(logevent.Def)) *Writer {
	return NewSized(w, level, count, defaultQueueSize)
}

// NewSized is New with room for size lines that wait to be written.
func NewSized(w io.Writer, level log.Level, count func(logevent.Def), size int) *Writer {
	out := bufio.NewWriterSize(w, bufferBytes)
	return &Writer{
		lines:   make(chan line, size),
		output:  w,
		out:     out,
		handler: jsonhandler.New(out),
		level:   level,
		count:   count,
	}
}

// Dropped returns the number of lines dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Write queues a log event and never waits.
func (w *Writer) Write(id logevent.ID, fields []logevent.Field) {
	def, ok := logevent.Lookup(id)
	if !ok {
		def = logevent.Def{ID: id, Name: "not_in_catalogue", Level: log.ErrorLevel}
	}
	if w.count != nil {
		w.count(def)
	}
	if def.Level < w.level {
		return
	}
	select {
	case w.lines <- line{at: time.Now(), def: def, fields: fields}:
	default:
		w.dropped.Add(1)
	}
}

// Run writes queued lines until ctx ends, and then those that are left. It does
// not wait longer than drainTimeout for an output that blocks.
func (w *Writer) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.writeLoop(ctx)
	}()
	select {
	case <-done:
		return ctx.Err()
	case <-ctx.Done():
	}
	select {
	case <-done:
	case <-time.After(drainTimeout):
	}
	return ctx.Err()
}

func (w *Writer) writeLoop(ctx context.Context) {
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	for {
		select {
		case l := <-w.lines:
			w.writeLine(l)
		case <-flush.C:
			w.flush()
		case <-ctx.Done():
			w.writeQueued()
			w.flush()
			return
		}
	}
}

func (w *Writer) writeQueued() {
	for {
		select {
		case l := <-w.lines:
			w.writeLine(l)
		default:
			return
		}
	}
}

// writeLine encodes a line. A line that cannot be written counts as dropped.
func (w *Writer) writeLine(l line) {
	fields := make(log.Fields, len(l.fields)+1)
	for _, f := range l.fields {
		fields[f.Key] = f.Value()
	}
	fields["event"] = uint16(l.def.ID)
	err := w.handler.HandleLog(&log.Entry{
		Level:     l.def.Level,
		Timestamp: l.at,
		Message:   l.def.Name,
		Fields:    fields,
	})
	if err != nil {
		w.dropped.Add(1)
	}
}

func (w *Writer) flush() {
	if err := w.out.Flush(); err != nil {
		w.dropped.Add(1)
		// A bufio.Writer that failed once writes nothing until it is reset.
		w.out.Reset(w.output)
	}
}
