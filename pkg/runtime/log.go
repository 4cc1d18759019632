package runtime

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
	// logQueue is the number of log lines that may wait to be written.
	logQueue = 8192
	// logFlush is how long a line may stay in the buffer.
	logFlush = 200 * time.Millisecond
	// logBuffer is the size of the output buffer in bytes.
	logBuffer = 64 << 10
)

// LogWriter writes log events in a goroutine of its own. When it falls behind,
// lines are dropped and counted, since the event loop must not wait for the
// output.
type LogWriter struct {
	lines   chan logLine
	out     *bufio.Writer
	handler log.Handler
	level   log.Level
	dropped atomic.Uint64
	count   func(def logevent.Def)
}

type logLine struct {
	at     time.Time
	def    logevent.Def
	fields []logevent.Field
}

// NewLogWriter returns a writer of JSON lines to w, of level and above. count,
// if not nil, is told of every event of any level; it must be cheap and safe
// for concurrent use.
func NewLogWriter(w io.Writer, level log.Level, count func(logevent.Def)) *LogWriter {
	out := bufio.NewWriterSize(w, logBuffer)
	return &LogWriter{
		lines:   make(chan logLine, logQueue),
		out:     out,
		handler: jsonhandler.New(out),
		level:   level,
		count:   count,
	}
}

// Dropped returns the number of lines dropped.
func (w *LogWriter) Dropped() uint64 { return w.dropped.Load() }

// Write queues a log event and never waits.
func (w *LogWriter) Write(id logevent.ID, fields []logevent.Field) {
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
	case w.lines <- logLine{at: time.Now(), def: def, fields: fields}:
	default:
		w.dropped.Add(1)
	}
}

// Run writes queued lines until ctx ends, and then those that are left.
func (w *LogWriter) Run(ctx context.Context) error {
	flush := time.NewTicker(logFlush)
	defer flush.Stop()
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-flush.C:
			w.flush()
		case <-ctx.Done():
			w.drain()
			w.flush()
			return ctx.Err()
		}
	}
}

func (w *LogWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write encodes a line. A line that cannot be written counts as dropped.
func (w *LogWriter) write(line logLine) {
	fields := make(log.Fields, len(line.fields)+1)
	for _, f := range line.fields {
		fields[f.Key] = f.Value()
	}
	fields["event"] = uint16(line.def.ID)
	err := w.handler.HandleLog(&log.Entry{
		Level:     line.def.Level,
		Timestamp: line.at,
		Message:   line.def.Name,
		Fields:    fields,
	})
	if err != nil {
		w.dropped.Add(1)
	}
}

func (w *LogWriter) flush() {
	if err := w.out.Flush(); err != nil {
		w.dropped.Add(1)
	}
}
