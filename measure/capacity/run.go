package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// ErrUnknown means that there is no measurement of the given name.
var ErrUnknown = errors.New("capacity: no such measurement")

// measurement adds its series to the report.
type measurement struct {
	name string
	run  func(*Report) error
}

// measurements are run in this order, one at a time.
var measurements = []measurement{
	{"entry-reducer", entryReducer},
	{"owner-reducer", ownerReducer},
	{"execute", executeCost},
	{"leaf-call", leafCalls},
	{"daemon", daemonQueries},
	{"heartbeat", heartbeatCost},
	{"exchange", exchangeCost},
	{"memory", stateMemory},
	{"idle", idleReducer},
	{"epoch-change", epochChange},
	{"placement", placementTime},
	{"epoch-size", epochSize},
	{"bundle", bundleSizes},
	{"cluster", clusterCosts},
}

// Run runs all measurements, or only the named one, and works out the figures
// if all succeeded. Progress goes to log. A measurement that fails is listed in
// the report and does not stop the others.
func Run(ctx context.Context, only string, log io.Writer) (*Report, error) {
	r := newReport()
	start := time.Now()
	found := false
	for _, m := range measurements {
		if only != "" && m.name != only {
			continue
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		found = true
		began := time.Now()
		if err := m.run(r); err != nil {
			r.Failed = append(r.Failed, fmt.Sprintf("%s: %v", m.name, err))
		}
		fmt.Fprintf(log, "%-14s %5.1f s\n", m.name, time.Since(began).Seconds())
	}
	if !found {
		return nil, fmt.Errorf("%w: %q", ErrUnknown, only)
	}
	r.Seconds = time.Since(start).Seconds()
	if only == "" && len(r.Failed) == 0 {
		r.workOut()
	}
	return r, nil
}
