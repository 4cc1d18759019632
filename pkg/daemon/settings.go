package daemon

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/bundle"
	"github.com/pistachiousher/pistachiousher/pkg/controls"
	"github.com/pistachiousher/pistachiousher/pkg/core"
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/core/membership"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/runtime"
	"github.com/pistachiousher/pistachiousher/pkg/settings"
	"github.com/pistachiousher/pistachiousher/pkg/trace"
)

// platformBurst is the number of platform calls that a daemon may make at
// once. A start needs about six.
const platformBurst = 10

// FromSettings returns the options of a daemon with the given settings. The
// returned closer closes the log and trace files that the settings name; it is
// never nil.
func FromSettings(s *settings.Settings) (Options, io.Closer, error) {
	var files closers
	var recorder traceRecorder
	o := Options{
		VM:            s.VM,
		Region:        s.Region,
		Listen:        Addresses{Caller: s.Listen.Caller, Peer: s.Listen.Peer, Admin: s.Listen.Admin},
		Platform:      baseURLs(s.Platform.Addresses),
		PlatformRate:  s.Platform.CallsPerSecond,
		PlatformBurst: platformBurst,
		NewCore:       newCore(s, &recorder),
		Decode:        decoder(s),
		LogLevel:      s.Log.Level,
	}
	if s.Log.File != "" {
		f, err := os.OpenFile(s.Log.File, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
		if err != nil {
			return o, files, fmt.Errorf("daemon: log file: %w", err)
		}
		files = append(files, f)
		o.LogOutput = f
	}
	if s.Trace.File != "" {
		f, err := os.Create(s.Trace.File)
		if err != nil {
			return o, files, fmt.Errorf("daemon: trace file: %w", err)
		}
		recorder.file = f
		files = append(files, &recorder)
		o.Recorder = &recorder
	}
	return o, files, nil
}

func baseURLs(addresses []string) []string {
	list := make([]string, len(addresses))
	for i, a := range addresses {
		list[i] = "http://" + a
	}
	return list
}

// closers closes its elements in order and returns the first error.
type closers []io.Closer

func (c closers) Close() error {
	var first error
	for _, x := range c {
		if err := x.Close(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// traceRecorder records the event stream in a file. It starts when the
// configuration of the core is known.
type traceRecorder struct {
	file   *os.File // nil if nothing is recorded
	writer *trace.Writer
}

// start must be called before the first step.
func (r *traceRecorder) start(cfg core.Config) {
	if r.file != nil {
		r.writer = trace.NewWriter(r.file, cfg)
	}
}

// Record implements runtime.Recorder.
func (r *traceRecorder) Record(e event.Event, effects []effect.Effect) { r.writer.Record(e, effects) }

// Close ends the trace and closes its file.
func (r *traceRecorder) Close() error {
	if r.writer == nil {
		return r.file.Close()
	}
	return errors.Join(r.writer.Close(), r.file.Close())
}

// newCore returns the function that creates the reducer. Advertised addresses
// default to those listened on.
func newCore(s *settings.Settings, recorder *traceRecorder) func(Addresses) (runtime.Core, error) {
	return func(a Addresses) (runtime.Core, error) {
		cfg := core.Config{
			Self: model.MemberRef{
				VM:          s.VM,
				Incarnation: membership.NewIncarnation(time.Now().UnixMilli(), rand.Uint64()),
			},
			Region:        s.Region,
			FailureDomain: s.FailureDomain,
			PeerAddress:   a.Peer,
			CallerAddress: a.Caller,
			Seeds:         s.Seeds,
		}
		if s.Advertise.Peer != "" {
			cfg.PeerAddress = s.Advertise.Peer
		}
		if s.Advertise.Caller != "" {
			cfg.CallerAddress = s.Advertise.Caller
		}
		recorder.start(cfg)
		return core.New(cfg), nil
	}
}

// decoder returns the function that checks documents before the reducer sees
// them. A bundle needs the signatures of a quorum of operators, so that write
// access to the platform alone does not suffice to change it.
func decoder(s *settings.Settings) func(event.DocumentKind, []byte) (event.Document, error) {
	return func(kind event.DocumentKind, raw []byte) (event.Document, error) {
		d := event.Document{Kind: kind, Raw: raw}
		var err error
		switch kind {
		case event.DocumentBundle:
			if d.Bundle, err = bundle.Decode(raw, s.Operators.Keys, s.Operators.Quorum); err == nil {
				d.Version = d.Bundle.Version
			}
		case event.DocumentControls:
			if d.Controls, err = controls.Decode(raw); err == nil {
				d.Version = d.Controls.Version
			}
		default:
			err = fmt.Errorf("daemon: no decoder for %s", kind)
		}
		return d, err
	}
}
