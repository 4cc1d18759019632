package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/pistachiousher/pistachiousher/pkg/core"
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/daemon"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/runtime"
	"github.com/pistachiousher/pistachiousher/pkg/settings"
	"github.com/pistachiousher/pistachiousher/standin/platform"
)

// errTimeout means that a testbed did not get into the expected state.
var errTimeout = errors.New("capacity: testbed did not settle")

const (
	// callsPerSecond is the daemons' default budget of platform calls.
	callsPerSecond = settings.DefaultCallsPerSecond
	settleTimeout  = 25 * time.Second
	settlePoll     = 5 * time.Millisecond
)

// testbed runs daemons of one region in this process against a stand-in of the
// platform.
type testbed struct {
	platform  *platform.Server
	operators *operators
	url       string
	daemons   []*testDaemon
	cancel    context.CancelFunc
	ctx       context.Context
	running   sync.WaitGroup
}

// testDaemon is one daemon and what its reducer last said of itself.
type testDaemon struct {
	caller   atomic.Pointer[string]
	peer     atomic.Pointer[string]
	status   atomic.Pointer[model.DaemonStatus]
	controls atomic.Uint64
	// seen is when the present controls version was learned.
	seen atomic.Pointer[time.Time]
}

// watchedCore tells a testDaemon about changes of versions.
type watchedCore struct {
	*core.State
	daemon *testDaemon
}

// Step implements runtime.Core.
func (c *watchedCore) Step(e event.Event) []effect.Effect {
	effects := c.State.Step(e)
	if v := c.State.Header().ControlsVersion; v != c.daemon.controls.Load() {
		now := time.Now()
		c.daemon.seen.Store(&now)
		c.daemon.controls.Store(v)
	}
	return effects
}

// Status implements runtime.StatusSource.
func (c *watchedCore) Status(now model.Time) model.DaemonStatus {
	s := c.State.Status(now)
	c.daemon.status.Store(&s)
	return s
}

// newTestbed puts the bundle into effect and starts n daemons, the first alone
// and the others with the first as their seed. There are no controls at the
// start: a lone daemon that finds both objects repeats their confirmation
// without end at the default budget of platform calls.
func newTestbed(n int, yaml string) (*testbed, error) {
	t := &testbed{platform: platform.New(platform.Options{})}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	var err error
	if t.operators, err = newOperators("ana"); err != nil {
		return nil, err
	}
	address, err := serveOn(t.ctx, &http.Server{Handler: t.platform.Handler()}, nil)
	if err != nil {
		return nil, err
	}
	t.url = address
	envelope, err := t.operators.seal(yaml)
	if err != nil {
		return nil, err
	}
	raw, err := envelope.Encode()
	if err != nil {
		return nil, err
	}
	if _, err := t.platform.Put(runtime.BundleKey, raw, 0); err != nil {
		return nil, err
	}
	members := newMembers(n)
	vms := make([]platform.VM, n)
	for i, m := range members {
		vms[i] = platform.VM{Name: string(m.VM), State: string(model.VMLive)}
	}
	t.platform.SetVMs(vms, 0)
	if err := t.startAll(members); err != nil {
		t.close()
		return nil, err
	}
	return t, nil
}

func (t *testbed) startAll(members []model.Member) error {
	if err := t.start(members[0], nil); err != nil {
		return err
	}
	if err := t.settle(); err != nil {
		return err
	}
	for _, m := range members[1:] {
		if err := t.start(m, []string{*t.daemons[0].peer.Load()}); err != nil {
			return err
		}
	}
	return t.settle()
}

// start runs one daemon on free loopback ports.
func (t *testbed) start(m model.Member, seeds []string) error {
	s := &settings.Settings{
		VM: m.VM, Region: regionName, FailureDomain: m.FailureDomain,
		Listen:    settings.Listen{Caller: loopback, Peer: loopback, Admin: loopback},
		Platform:  settings.Platform{Addresses: []string{t.url}, CallsPerSecond: callsPerSecond},
		Seeds:     seeds,
		Operators: settings.Operators{Quorum: 1, Keys: t.operators.public},
		Log:       settings.Log{Level: log.ErrorLevel},
	}
	o, _, err := daemon.FromSettings(s)
	if err != nil {
		return err
	}
	d := new(testDaemon)
	newCore := o.NewCore
	o.NewCore = func(a daemon.Addresses) (runtime.Core, error) {
		c, err := newCore(a)
		if err != nil {
			return nil, err
		}
		state, ok := c.(*core.State)
		if !ok {
			return nil, fmt.Errorf("capacity: reducer is a %T", c)
		}
		return &watchedCore{State: state, daemon: d}, nil
	}
	o.LogOutput = io.Discard
	o.Listening = func(a daemon.Addresses) {
		d.caller.Store(&a.Caller)
		d.peer.Store(&a.Peer)
	}
	t.daemons = append(t.daemons, d)
	// A daemon that fails never gets ready, which settle reports.
	t.running.Go(func() { _ = daemon.Run(t.ctx, o) })
	return nil
}

// settle waits until all daemons serve and are members of the epoch.
func (t *testbed) settle() error {
	return await(settleTimeout, func() bool {
		o, ok := t.platform.Get(runtime.EpochKey(regionName))
		e := new(model.Epoch)
		if !ok || json.Unmarshal(o.Value, e) != nil || len(e.Members) != len(t.daemons) {
			return false
		}
		for _, d := range t.daemons {
			s := d.status.Load()
			if s == nil || !s.Ready || s.Epoch != e.Number {
				return false
			}
		}
		return true
	})
}

func await(timeout time.Duration, done func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(settlePoll) {
		if done() {
			return nil
		}
	}
	return errTimeout
}

// putControls writes controls of the given version.
func (t *testbed) putControls(version uint64) error {
	o, _ := t.platform.Get(runtime.ControlsKey)
	raw, err := encodeControls(version)
	if err != nil {
		return err
	}
	_, err = t.platform.Put(runtime.ControlsKey, raw, o.Version)
	return err
}

// close stops the daemons and waits for them.
func (t *testbed) close() {
	t.cancel()
	t.running.Wait()
}

// testService is a service of a testbed's bundle with one leaf per shard.
type testService struct {
	name  string
	first int // index of its first leaf
	leafs []string
}

// testYAML is a bundle of the services; leafs have their addresses.
func testYAML(services []testService, slots, connections int) string {
	var y, servers strings.Builder
	y.WriteString("version: 1\nservices:\n")
	for _, s := range services {
		fmt.Fprintf(&y, "  - name: %s\n    policy: {mode: coverage_first, max_in_flight: 1000}\n", s.name)
		fmt.Fprintf(&y, "    callers: [{name: %s, share: 1}]\n    layouts:\n      - name: %s\n        shards:\n", callerName, layoutName)
		for i, address := range s.leafs {
			server := newServer(s.first + i)
			fmt.Fprintf(&y, "          - {name: %s,", shardName(s.first+i))
			if i > 0 {
				fmt.Fprintf(&y, " from: k%05d,", i)
			}
			if i < len(s.leafs)-1 {
				fmt.Fprintf(&y, " to: k%05d,", i+1)
			}
			fmt.Fprintf(&y, " replicas: [%s]}\n", server.Name)
			fmt.Fprintf(&servers, "  - {name: %s, failure_domain: %s, address: %q, slots: %d, connections: %d, cold: {slots: %d}}\n",
				server.Name, server.FailureDomain, address, slots, connections, slots)
		}
	}
	return y.String() + "backend_servers:\n" + servers.String()
}
