package replay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/trace"
	"github.com/pistachiousher/pistachiousher/standin/child"
	"github.com/pistachiousher/pistachiousher/standin/processes"
)

// The recorded scenarios.
const (
	ownerKilled = "owner-killed"
	rolledOut   = "bundle-rolled-out"
	domainOut   = "domain-taken-out"
)

const (
	daemons = 3
	// rate is low enough that a trace takes only tens of kilobytes.
	rate = 8
	// recordedBefore and recordedAfter are how long a run is recorded before and
	// after its change.
	recordedBefore = 1500 * time.Millisecond
	recordedAfter  = 6 * time.Second
	// killedDaemon is the daemon that ownerKilled kills.
	killedDaemon = 1
	// outDomain is the failure domain that domainOut takes out.
	outDomain = model.FailureDomain("vukovar")
)

// runInfo is what a test needs to know of a recorded run besides its traces.
type runInfo struct {
	// ChangedAt is the Unix time in milliseconds when the change was made.
	ChangedAt int64 `json:"changed_at"`
	// Traces are the names of the trace files.
	Traces []string `json:"traces"`
}

// recordAll records every scenario into dir.
func recordAll(ctx context.Context, dir string) error {
	bin, err := os.MkdirTemp("", "replay")
	if err != nil {
		return err
	}
	defer os.RemoveAll(bin)
	if err := child.Build(ctx, bin); err != nil {
		return err
	}
	changes := map[string]func(*processes.Tier) error{
		ownerKilled: func(t *processes.Tier) error { t.KillDaemon(killedDaemon); return nil },
		rolledOut: func(t *processes.Tier) error {
			return t.RollOut(ctx, processes.Bundle{Version: 2, Halves: true}, 1)
		},
		domainOut: func(t *processes.Tier) error { return t.TakeOut(ctx, outDomain) },
	}
	for _, name := range []string{ownerKilled, rolledOut, domainOut} {
		if err := recordScenario(ctx, bin, dir, name, changes[name]); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// recordScenario runs a tier under load, makes one change and writes the traces
// into dir.
func recordScenario(ctx context.Context, bin, dir, name string, change func(*processes.Tier) error) error {
	temp, err := os.MkdirTemp("", "replay")
	if err != nil {
		return err
	}
	defer os.RemoveAll(temp)
	t, err := processes.Start(ctx, processes.Options{Bin: bin, Dir: temp, Daemons: daemons, Trace: true})
	if err != nil {
		return err
	}
	defer t.Close()
	load := t.StartLoad(rate)
	time.Sleep(recordedBefore)
	err = change(t)
	f := runInfo{ChangedAt: time.Now().UnixMilli()}
	time.Sleep(recordedAfter)
	load.Stop()
	t.Close()
	if err != nil {
		return err
	}
	for i, d := range t.Daemons {
		if name == ownerKilled && i == killedDaemon {
			continue
		}
		file := fmt.Sprintf("%s.%s.trace", name, d.VM)
		if err := rewriteTrace(t.TraceFile(d), filepath.Join(dir, file)); err != nil {
			return err
		}
		f.Traces = append(f.Traces, file)
	}
	raw, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name+".json"), append(raw, '\n'), 0o644)
}

// rewriteTrace replays the events of a trace through a core and writes them as a
// complete trace. The trace of a killed daemon ends with the last step that
// reached the file.
func rewriteTrace(from, to string) error {
	in, err := os.Open(from)
	if err != nil {
		return err
	}
	defer in.Close()
	out, err := os.Create(to)
	if err != nil {
		return err
	}
	defer out.Close()
	r, cfg, err := trace.NewReader(in)
	if err != nil {
		return err
	}
	w, c := trace.NewWriter(out, cfg), core.New(cfg)
	for {
		s, err := r.Next()
		if err == io.EOF || errors.Is(err, trace.ErrInvalid) {
			return w.Close()
		}
		if err != nil {
			return err
		}
		w.Record(s.Event, c.Step(s.Event))
	}
}
